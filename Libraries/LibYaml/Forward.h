#pragma once

namespace zinc {

class MappingReader;
struct Fault;
struct YamlNode;

}
