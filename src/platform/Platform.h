#pragma once

/// \file
/// \brief Module platform: interfaces to the platform's object store and host list.

#include "platform/HostList.h"
#include "platform/ObjectStore.h"
#include "platform/PlatformAccess.h"
#include "platform/RetryingStore.h"
