#pragma once

namespace zinc {

class HttpClient;
class HttpInstanceList;
class HttpObjectStore;
class HttpTable;
class HttpWorker;
class InstanceList;
class JsonFields;
class ObjectStore;
class Table;
class Worker;
struct Endpoint;
struct HttpOptions;
struct Instance;
struct Row;
struct Transaction;

}
