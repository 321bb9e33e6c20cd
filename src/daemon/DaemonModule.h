#pragma once

/// \file
/// \brief Module daemon: code shared by all daemon programs.

#include "daemon/AdminServer.h"
#include "daemon/CommandLine.h"
#include "daemon/Daemon.h"
#include "daemon/DaemonOptions.h"
#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"
#include "daemon/DaemonStatus.h"
#include "daemon/PeerMemory.h"
#include "daemon/ProgramRunner.h"
#include "daemon/Readiness.h"
#include "daemon/RefusalCheck.h"
