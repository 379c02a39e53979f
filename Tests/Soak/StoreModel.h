#pragma once

/// @file
/// The rows of the platform's store, as its protocol shows them.

#include <cstdint>
#include <json/value.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace zinc::soak {

/// A status and the body that goes with it.
struct StoreReply
{
  unsigned status = 200;
  Json::Value body = Json::Value(Json::objectValue);
};

/// Which rows a read asks for; an empty bound is open.
struct ReadRange
{
  std::string table;
  std::string part;
  std::string from;
  std::string to;
};

/// Rows with versions, transactions and the history of changes.
class StoreModel
{
public:
  /// Performs a transaction of the system, or refuses it whole.
  [[nodiscard]] StoreReply Transact(const Json::Value& aRequest);

  [[nodiscard]] StoreReply Read(const ReadRange& aRange) const;

  /// @return the rows of a table that changed after a version, a refusal if that is no longer
  /// known, or nothing if none changed.
  [[nodiscard]] std::optional<StoreReply> Changes(const std::string& aTable,
                                                  std::uint64_t aAfter) const;

  /// Forgets every change made so far; the rows stay.
  void DropHistory();

  /// Writes or removes a row with an empty part on behalf of the operator or a worker.
  void Put(const std::string& aTable, const std::string& aKey, std::string_view aText);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  /// Table, part and key.
  using RowName = std::tuple<std::string, std::string, std::string>;

  struct Row
  {
    /// Base64, as it came.
    std::string value;
    std::uint64_t version = 0;
  };

  struct Change
  {
    RowName name;
    std::uint64_t version = 0;
  };

  static RowName NameOf(const Json::Value& aEntry);
  [[nodiscard]] static unsigned CheckForm(const Json::Value& aRequest);
  [[nodiscard]] bool HoldsConditions(const Json::Value& aConditions) const;
  [[nodiscard]] Json::Value Encode(const RowName& aName) const;
  [[nodiscard]] Json::Value Envelope() const;
  void Write(const RowName& aName, std::string aValue);
  void Erase(const RowName& aName);

  std::map<RowName, Row> rows;
  std::vector<Change> changes;
  std::uint64_t version = 1;
  /// Changes up to this version are forgotten.
  std::uint64_t forgotten = 0;
};

}
