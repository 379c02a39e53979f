#pragma once

namespace zinc {

class Logger;
struct LogField;

}
