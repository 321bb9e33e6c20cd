#pragma once

/// \file
/// \brief Module daemon: what all daemon programs share.

#include "daemon/AdminServer.h"
#include "daemon/CommandLine.h"
#include "daemon/Daemon.h"
#include "daemon/DaemonOptions.h"
#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"
#include "daemon/DaemonStatus.h"
#include "daemon/ProgramRunner.h"
#include "daemon/Readiness.h"
