#pragma once

/// @file
/// JSON forms of the inner protocol's messages; decoders fail with @ref ErrorCode::BadRequest.

#include <LibPeer/PeerMessages.h>
#include <json/forwards.h>

namespace zinc {

[[nodiscard]] Json::Value
ToJson(const PeerBeat& aBeat);
[[nodiscard]] Result<PeerBeat>
PeerBeatFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const Notice& aNotice);
[[nodiscard]] Result<Notice>
NoticeFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const NoticeBatch& aBatch);
[[nodiscard]] Result<NoticeBatch>
NoticeBatchFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const DocumentCopy& aCopy);
[[nodiscard]] Result<DocumentCopy>
DocumentCopyFromJson(const Json::Value& aValue);

}
