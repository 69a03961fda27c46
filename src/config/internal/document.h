#pragma once

#include <cstddef>
#include <json/json.h>
#include <optional>
#include <string>
#include <vector>

#include "config/internal/findingcollector.h"
#include "config/internal/keypath.h"

namespace savoryrill::config {

/// A parsed JSON text that knows the line of each of its values.
class Document
{
public:
  /// Parses JSON with comments; nothing if there are syntax errors, which are added to
  /// the findings. The root is an object. Never throws.
  static std::optional<Document> parse(std::string aName,
                                       const std::string& aText,
                                       FindingCollector& aFindings);

  const std::string& name() const { return mName; }
  const Json::Value& root() const { return mRoot; }

  /// How far `aPath` exists here, and the line of the last existing value.
  struct Place
  {
    std::size_t depth = 0;
    int line = 0;
  };
  Place find(const KeyPath& aPath) const;

private:
  Document(std::string aName, const std::string& aText);
  int lineAt(std::size_t aOffset) const;
  bool readRoot(const std::string& aText, FindingCollector& aFindings);

  std::string mName;
  std::vector<std::size_t> mLineStarts;
  Json::Value mRoot;
};

/// Resolves a path to a file and line: to the overlay if it has the value, otherwise to
/// the base. Precondition: the documents outlive it.
class Locator
{
public:
  explicit Locator(const Document& aBase, const Document* aOverlay = nullptr)
    : mBase(aBase)
    , mOverlay(aOverlay)
  {
  }

  /// A finding without message at the place of `aPath`; the parent's place if the value
  /// does not exist.
  Finding locate(const KeyPath& aPath) const;

private:
  const Document& mBase;
  const Document* mOverlay;
};

} // namespace savoryrill::config
