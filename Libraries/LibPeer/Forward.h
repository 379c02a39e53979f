#pragma once

namespace zinc {

class PeerClient;
class PeerHandler;
class PeerServer;
struct PeerBeat;
struct NoticeBatch;

}
