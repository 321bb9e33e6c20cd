#pragma once

/// \file
/// \brief Module platform: what the project uses of the platform, as interfaces.

#include "platform/HostList.h"
#include "platform/ObjectStore.h"
#include "platform/PlatformAccess.h"
#include "platform/RetryingStore.h"
