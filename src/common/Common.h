#pragma once

/// \file
/// \brief Module common: outcomes, time, settings, logging, metrics and the worker pool.

#include "common/Assert.h"
#include "common/BootClock.h"
#include "common/CancelToken.h"
#include "common/Endpoint.h"
#include "common/Error.h"
#include "common/Gather.h"
#include "common/LatencyHistogram.h"
#include "common/Listener.h"
#include "common/Log.h"
#include "common/LowerCase.h"
#include "common/Metrics.h"
#include "common/OneShot.h"
#include "common/Outcome.h"
#include "common/Random.h"
#include "common/Settings.h"
#include "common/Sleep.h"
#include "common/StallDetector.h"
#include "common/StoreRevision.h"
#include "common/Task.h"
#include "common/Time.h"
#include "common/Timer.h"
#include "common/TimerQueue.h"
#include "common/TomlDocument.h"
#include "common/WorkerPool.h"
