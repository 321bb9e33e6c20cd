#pragma once

/// \file
/// \brief Module policy: decisions under load that the entry and the gateway share; no sockets.

#include "policy/RankShareMeter.h"
#include "policy/RetryAdvice.h"
