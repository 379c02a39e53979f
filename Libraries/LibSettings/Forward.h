#pragma once

namespace zinc {

struct EntrySettings;
struct OperatorKey;
struct SettingDescription;
struct SettingOverride;

}
