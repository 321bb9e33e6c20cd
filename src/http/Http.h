#pragma once

/// \file
/// \brief Module http: HTTP/1.1 client and server on Boost.Beast.

#include "http/ByteBudget.h"
#include "http/CallerSocket.h"
#include "http/ClientConnection.h"
#include "http/HostLimits.h"
#include "http/HttpClient.h"
#include "http/HttpConnection.h"
#include "http/HttpMessage.h"
#include "http/HttpServer.h"
#include "http/IdleConnections.h"
#include "http/MemoryBudget.h"
#include "http/ParserLimits.h"
#include "http/RequestParser.h"
#include "http/RequestParsing.h"
#include "http/RequestSizeLimits.h"
#include "http/RequestStream.h"
#include "http/ServerMemory.h"
#include "http/StatusClass.h"
#include "http/WireRequest.h"
