#include <LibYaml/YamlNode.h>

#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <unordered_set>
#include <utility>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace zinc {

namespace {

constexpr std::string_view kPlainTag = "?";
constexpr std::string_view kQuotedTag = "!";

/// Ends the parse as soon as a bound is passed.
class LimitExceeded final : public std::exception
{
public:
  explicit LimitExceeded(Fault aFault)
    : fault(std::move(aFault))
  {
  }
  Fault fault;
};

int
LineOf(const YAML::Mark& aMark)
{
  return aMark.line + 1;
}

/// Builds the tree from the parser's events.
class TreeBuilder final : public YAML::EventHandler
{
public:
  TreeBuilder(const YamlLimits& aLimits, Faults& aFaults)
    : limits(aLimits)
    , faults(aFaults)
  {
  }

  [[nodiscard]] YamlNode TakeRoot() { return std::move(this->root); }

  void OnDocumentStart(const YAML::Mark& /*aMark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override
  {
    this->RefuseAnchor(aMark, aAnchor);
    this->Place({ .kind = YamlKind::Null, .line = LineOf(aMark) });
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    this->AddFaultAt(aMark, "aliases are not allowed", "the value itself");
    this->Place({ .kind = YamlKind::Null, .line = LineOf(aMark) });
  }

  void OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t aAnchor,
                const std::string& aValue) override
  {
    this->RefuseAnchor(aMark, aAnchor);
    this->RefuseTag(aMark, aTag);
    const auto kind = aTag == kQuotedTag ? YamlKind::Quoted : YamlKind::Plain;
    this->Place({ .kind = kind, .line = LineOf(aMark), .text = aValue });
  }

  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& aTag,
                       YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    this->RefuseAnchor(aMark, aAnchor);
    this->RefuseTag(aMark, aTag);
    this->Open({ .kind = YamlKind::Sequence, .line = LineOf(aMark) });
  }

  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& aTag,
                  YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    this->RefuseAnchor(aMark, aAnchor);
    this->RefuseTag(aMark, aTag);
    this->Open({ .kind = YamlKind::Mapping, .line = LineOf(aMark) });
  }

  void OnSequenceEnd() override { this->Close(); }
  void OnMapEnd() override { this->Close(); }

private:
  /// A collection that is still being filled.
  struct OpenNode
  {
    YamlNode node;
    /// Key read last in a mapping, waiting for its value.
    std::string key;
    bool awaitsValue = false;
    std::unordered_set<std::string> keys;
  };

  void AddFaultAt(const YAML::Mark& aMark, std::string aMessage, std::string aExpected)
  {
    AddFault(this->faults,
             { .line = LineOf(aMark),
               .path = this->Path(),
               .message = std::move(aMessage),
               .expected = std::move(aExpected) });
  }

  void RefuseAnchor(const YAML::Mark& aMark, YAML::anchor_t aAnchor)
  {
    if (aAnchor != 0) {
      this->AddFaultAt(aMark, "anchors are not allowed", "the value without an anchor");
    }
  }

  void RefuseTag(const YAML::Mark& aMark, const std::string& aTag)
  {
    if (!aTag.empty() && aTag != kPlainTag && aTag != kQuotedTag) {
      this->AddFaultAt(aMark, "tags are not allowed", "the value without a tag");
    }
  }

  void Open(YamlNode aNode)
  {
    this->CountNode(aNode.line);
    if (this->stack.size() >= this->limits.maxDepth) {
      throw LimitExceeded({ .line = aNode.line,
                            .path = this->Path(),
                            .message = "the text is nested too deeply",
                            .expected = fmt::format("at most {} levels", this->limits.maxDepth) });
    }
    this->stack.push_back({ .node = std::move(aNode) });
  }

  void Close()
  {
    YamlNode node = std::move(this->stack.back().node);
    this->stack.pop_back();
    this->Attach(std::move(node));
  }

  void Place(YamlNode aNode)
  {
    this->CountNode(aNode.line);
    this->Attach(std::move(aNode));
  }

  void CountNode(int aLine)
  {
    ++this->nodeCount;
    if (this->nodeCount > this->limits.maxNodes) {
      throw LimitExceeded({ .line = aLine,
                            .path = this->Path(),
                            .message = "the text has too many values",
                            .expected = fmt::format("at most {} values", this->limits.maxNodes) });
    }
  }

  void Attach(YamlNode aNode)
  {
    if (this->stack.empty()) {
      this->root = std::move(aNode);
      return;
    }
    OpenNode& parent = this->stack.back();
    if (parent.node.kind == YamlKind::Mapping && !parent.awaitsValue) {
      this->TakeKey(parent, std::move(aNode));
      return;
    }
    parent.awaitsValue = false;
    aNode.key = std::exchange(parent.key, {});
    parent.node.children.push_back(std::move(aNode));
  }

  void TakeKey(OpenNode& aParent, YamlNode aKey)
  {
    aParent.awaitsValue = true;
    if (!aKey.IsScalar()) {
      AddFault(this->faults,
               { .line = aKey.line,
                 .path = this->Path(),
                 .message = "a key must be plain text",
                 .expected = "a key of letters, digits and underscores" });
      return;
    }
    aParent.key = aKey.text;
    if (!aParent.keys.insert(aKey.text).second) {
      AddFault(this->faults,
               { .line = aKey.line,
                 .path = this->Path(),
                 .message = fmt::format("key {} appears twice", aKey.text),
                 .expected = "each key once" });
    }
  }

  /// @return the place of the value that is being read.
  [[nodiscard]] std::string Path() const
  {
    std::string path;
    for (const auto& open : this->stack) {
      if (open.node.kind == YamlKind::Sequence) {
        path += fmt::format("[{}]", open.node.children.size());
      } else if (!open.key.empty()) {
        path += (path.empty() ? "" : ".") + open.key;
      }
    }
    return path;
  }

  const YamlLimits& limits;
  Faults& faults;
  YamlNode root;
  std::vector<OpenNode> stack;
  std::size_t nodeCount = 0;
};

void
ParseInto(TreeBuilder& aBuilder, Faults& aFaults, std::string_view aText)
{
  std::istringstream stream{ std::string(aText) };
  try {
    YAML::Parser parser(stream);
    const bool found = parser.HandleNextDocument(aBuilder);
    if (!found) {
      AddFault(aFaults, { .line = 1, .message = "the text is empty", .expected = "a mapping" });
    } else if (parser) {
      AddFault(
        aFaults,
        { .message = "the text holds more than one document", .expected = "a single document" });
    }
  } catch (const LimitExceeded& exceeded) {
    AddFault(aFaults, exceeded.fault);
  } catch (const YAML::Exception& error) {
    AddFault(aFaults,
             { .line = error.mark.is_null() ? 0 : LineOf(error.mark),
               .message = "not YAML: " + error.msg,
               .expected = "well-formed YAML" });
  }
}

}

const YamlNode*
YamlNode::Find(std::string_view aKey) const
{
  const auto found = std::ranges::find(this->children, aKey, &YamlNode::key);
  return found == this->children.end() ? nullptr : &*found;
}

YamlNode*
YamlNode::Find(std::string_view aKey)
{
  const auto found = std::ranges::find(this->children, aKey, &YamlNode::key);
  return found == this->children.end() ? nullptr : &*found;
}

std::variant<YamlNode, Faults>
ParseYaml(std::string_view aText, const YamlLimits& aLimits)
{
  if (aText.size() > aLimits.maxBytes) {
    return Faults{ { .message = "the text is too long",
                     .expected = fmt::format("at most {} bytes", aLimits.maxBytes) } };
  }
  Faults faults;
  TreeBuilder builder(aLimits, faults);
  ParseInto(builder, faults, aText);
  if (!faults.empty()) {
    return faults;
  }
  return builder.TakeRoot();
}

}
