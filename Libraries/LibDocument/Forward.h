#pragma once

namespace zinc {

struct Change;
struct Document;
struct GeneratedKey;
struct Key;
struct PlacementPolicy;
struct Queue;
struct Team;
struct Workspace;

}
