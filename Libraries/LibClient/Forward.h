#pragma once

namespace zinc {

class ApiClient;
class HttpTransport;
struct ApiReply;
struct ApiRequest;
struct HttpRequest;
struct HttpResponse;

}
