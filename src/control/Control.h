#pragma once

/// \file
/// \brief Module control: configuration objects; their validation, publishing and reading.

#include "control/BookingKeys.h"
#include "control/ChangedNames.h"
#include "control/ConfigChecker.h"
#include "control/ConfigCodec.h"
#include "control/ConfigDiff.h"
#include "control/ConfigHolder.h"
#include "control/ConfigImpact.h"
#include "control/ConfigKeys.h"
#include "control/ConfigObjects.h"
#include "control/ConfigParser.h"
#include "control/ConfigSet.h"
#include "control/CopyOnWriteMap.h"
#include "control/ManifestCodec.h"
#include "control/commands/Publisher.h"
#include "control/queries/ConfigReader.h"
