// The functions that replace these load and initialize all algorithms at their first use. That took
// 1.4 to 9 ms, which on a host with 0.12 cores delays requests by up to 75 ms.
#define OPENSSL_SUPPRESS_DEPRECATED

#include "gateway/routing/Team.h"

#include <openssl/sha.h>

namespace gwt {

static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest{};
    SHA256_CTX context;
    SHA256_Init(&context);
    SHA256_Update(&context, key.data(), key.size());
    SHA256_Final(digest.data(), &context);
    return digest;
}

} // namespace gwt
