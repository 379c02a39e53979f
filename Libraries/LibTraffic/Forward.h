#pragma once

namespace zinc {

class HttpServer;
struct IncomingRequest;
struct OutgoingResponse;

}
