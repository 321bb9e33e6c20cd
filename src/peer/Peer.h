#pragma once

/// \file
/// \brief Module peer: calls between daemons over HTTP/2 (nghttp2), with deadlines and
/// cancellation.

#include "peer/ConnectAttempt.h"
#include "peer/PeerClient.h"
#include "peer/PeerCodec.h"
#include "peer/PeerMessage.h"
#include "peer/PeerMessageGate.h"
#include "peer/PeerServer.h"
