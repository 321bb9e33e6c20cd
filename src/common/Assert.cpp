#include "common/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace gwt::internal {

void assertionFailed(const char *condition, const char *assumption, const char *file, int line)
{
    std::fprintf(stderr,
                 "level=critical event=broken_invariant assumption=\"%s\" "
                 "condition=\"%s\" source=%s:%d\n",
                 assumption, condition, file, line);
    std::abort();
}

} // namespace gwt::internal
