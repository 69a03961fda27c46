#include "config/internal/document.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <memory>

#include "config/internal/textscan.h"

namespace savoryrill::config {

namespace {

/// Above the size of a configuration at the target size by an order of magnitude; the
/// state exchange carries at most 16 MB.
constexpr std::size_t kMaxTextBytes = 8UL * 1024 * 1024;

std::unique_ptr<Json::CharReader>
createReader()
{
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = true;
  builder["allowTrailingCommas"] = false;
  builder["strictRoot"] = true;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["allowSpecialFloats"] = false;
  builder["stackLimit"] = static_cast<Json::UInt>(kMaxDepth + 2);
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

struct ParserMessage
{
  int line = 0;
  std::string text;
};

/// Takes the first message out of `* Line 3, Column 5\n  text\n...`. Later messages come
/// from the parser's recovery and mislead.
ParserMessage
firstMessage(const std::string& aErrors)
{
  constexpr std::string_view kPrefix = "* Line ";
  ParserMessage result;
  const auto begin = aErrors.find(kPrefix);
  const auto newline = aErrors.find('\n');
  if (begin == std::string::npos || newline == std::string::npos) {
    result.text = "the text is not valid JSON";
    return result;
  }
  std::from_chars(
    aErrors.data() + begin + kPrefix.size(), aErrors.data() + newline, result.line);
  const auto end = std::min(aErrors.find('\n', newline + 1), aErrors.size());
  result.text = aErrors.substr(newline + 1, end - newline - 1);
  result.text.erase(0, result.text.find_first_not_of(' '));
  if (!result.text.empty() && result.text.back() == '.') {
    result.text.pop_back();
  }
  return result;
}

} // namespace

Document::Document(std::string aName, const std::string& aText)
  : mName(std::move(aName))
{
  mLineStarts.push_back(0);
  for (auto at = aText.find('\n'); at != std::string::npos;
       at = aText.find('\n', at + 1)) {
    mLineStarts.push_back(at + 1);
  }
}

int
Document::lineAt(std::size_t aOffset) const
{
  const auto after = std::upper_bound(mLineStarts.begin(), mLineStarts.end(), aOffset);
  return static_cast<int>(after - mLineStarts.begin());
}

bool
Document::readRoot(const std::string& aText, FindingCollector& aFindings)
{
  std::string errors;
  bool parsed = false;
  try {
    parsed =
      createReader()->parse(aText.data(), aText.data() + aText.size(), &mRoot, &errors);
  } catch (const std::exception& error) {
    // The library reports some faults, such as its own nesting limit, as exceptions.
    errors = std::string("* Line 0\n") + error.what();
  }
  if (!parsed) {
    auto message = firstMessage(errors);
    aFindings.add(
      { FindingLevel::Error, mName, message.line, "", std::move(message.text) });
    return false;
  }
  if (!mRoot.isObject()) {
    aFindings.add({ FindingLevel::Error, mName, 1, "", "the text must be one object" });
    return false;
  }
  return true;
}

std::optional<Document>
Document::parse(std::string aName, const std::string& aText, FindingCollector& aFindings)
{
  if (aText.size() > kMaxTextBytes) {
    aFindings.add(
      { FindingLevel::Error,
        std::move(aName),
        0,
        "",
        "the text is longer than " + std::to_string(kMaxTextBytes) + " bytes" });
    return std::nullopt;
  }
  Document document(std::move(aName), aText);
  auto faults = scanText(aText);
  for (auto& fault : faults) {
    aFindings.add({ FindingLevel::Error,
                    document.mName,
                    document.lineAt(fault.offset),
                    toString(fault.path),
                    std::move(fault.message) });
  }
  if (!faults.empty() || !document.readRoot(aText, aFindings)) {
    return std::nullopt;
  }
  return document;
}

Document::Place
Document::find(const KeyPath& aPath) const
{
  const Json::Value* value = &mRoot;
  Place place;
  for (const auto& part : aPath) {
    const Json::Value* next = nullptr;
    if (value->isObject()) {
      next = value->find(part.data(), part.data() + part.size());
    } else if (value->isArray() && part.starts_with('[')) {
      Json::ArrayIndex index = 0;
      std::from_chars(part.data() + 1, part.data() + part.size(), index);
      next = value->isValidIndex(index) ? &(*value)[index] : nullptr;
    }
    if (next == nullptr) {
      break;
    }
    value = next;
    ++place.depth;
  }
  place.line = lineAt(
    static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, value->getOffsetStart())));
  return place;
}

Finding
Locator::locate(const KeyPath& aPath) const
{
  const Document* document = &mBase;
  auto place = mBase.find(aPath);
  if (mOverlay != nullptr) {
    const auto in_overlay = mOverlay->find(aPath);
    const bool whole = in_overlay.depth == aPath.size();
    if (whole || in_overlay.depth > place.depth) {
      document = mOverlay;
      place = in_overlay;
    }
  }
  return { FindingLevel::Error, document->name(), place.line, toString(aPath), "" };
}

} // namespace savoryrill::config
