#pragma once

namespace zinc {

class OwnershipMap;
class PeerTable;
class WorkerLease;
struct Heartbeat;
struct LeaseCall;
struct OwnershipMove;
struct Peer;
struct PeerChange;

}
