#include "operator/Operator.h"
#include "platform/StoreAccess.h"

int main(int argc, char **argv)
{
    return gwt::runOperator(argc, argv, gwt::platform::StoreAccess::connect);
}
