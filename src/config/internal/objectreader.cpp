#include "config/internal/objectreader.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace savoryrill::config {

namespace {

std::string_view
typeName(const Json::Value& aValue)
{
  switch (aValue.type()) {
    case Json::nullValue:
      return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
      return "a number";
    case Json::stringValue:
      return "a string";
    case Json::booleanValue:
      return "a truth value";
    case Json::arrayValue:
      return "an array";
    case Json::objectValue:
      return "an object";
  }
  return "of unknown type";
}

std::string
wrongType(std::string_view aExpected, const Json::Value& aValue)
{
  return "must be " + std::string(aExpected) + ", but is " +
         std::string(typeName(aValue));
}

std::string
joined(const std::vector<std::string_view>& aWords)
{
  std::string result;
  for (const auto word : aWords) {
    result += (result.empty() ? "" : ", ") + std::string(word);
  }
  return result;
}

/// A number for a message, without trailing zeros.
std::string
shown(double aValue)
{
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%g", aValue);
  return buffer;
}

} // namespace

void
ReadContext::error(const KeyPath& aPath, std::string aMessage) const
{
  Finding finding = locator.locate(aPath);
  finding.message = std::move(aMessage);
  findings.add(std::move(finding));
}

void
ReadContext::warning(const KeyPath& aPath, std::string aMessage) const
{
  Finding finding = locator.locate(aPath);
  finding.level = FindingLevel::Warning;
  finding.message = std::move(aMessage);
  findings.add(std::move(finding));
}

ObjectReader::ObjectReader(const ReadContext& aContext,
                           KeyPath aPath,
                           const Json::Value& aValue)
  : mContext(aContext)
  , mPath(std::move(aPath))
  , mValue(aValue)
{
  if (!valid()) {
    mContext.error(mPath, wrongType("an object", mValue));
  }
}

const Json::Value*
ObjectReader::member(std::string_view aKey, Presence aPresence)
{
  mKnown.push_back(aKey);
  if (!valid()) {
    return nullptr;
  }
  const Json::Value* value = mValue.find(aKey.data(), aKey.data() + aKey.size());
  if (value == nullptr && aPresence == Presence::Required) {
    mContext.error(pathOf(aKey), "is missing");
  }
  return value;
}

bool
ObjectReader::readInteger(std::string_view aKey,
                          std::uint64_t& aTarget,
                          IntegerRange aRange,
                          Presence aPresence)
{
  const Json::Value* value = member(aKey, aPresence);
  if (value == nullptr) {
    return false;
  }
  if (!value->isNumeric()) {
    mContext.error(pathOf(aKey), wrongType("a whole number", *value));
    return false;
  }
  const bool whole = value->isUInt64();
  const std::uint64_t number = whole ? value->asUInt64() : 0;
  if (!whole || number < aRange.minimum || number > aRange.maximum) {
    mContext.error(pathOf(aKey),
                   "must be a whole number from " + std::to_string(aRange.minimum) +
                     " to " + std::to_string(aRange.maximum));
    return false;
  }
  aTarget = number;
  return true;
}

void
ObjectReader::real(std::string_view aKey, double& aTarget, Range<double> aRange)
{
  const Json::Value* value = member(aKey, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->isNumeric()) {
    mContext.error(pathOf(aKey), wrongType("a number", *value));
    return;
  }
  const double number = value->asDouble();
  if (!(number >= aRange.minimum && number <= aRange.maximum)) {
    mContext.error(pathOf(aKey),
                   "must be from " + shown(aRange.minimum) + " to " +
                     shown(aRange.maximum));
    return;
  }
  aTarget = number;
}

void
ObjectReader::boolean(std::string_view aKey, bool& aTarget)
{
  const Json::Value* value = member(aKey, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->isBool()) {
    mContext.error(pathOf(aKey), wrongType("true or false", *value));
    return;
  }
  aTarget = value->asBool();
}

void
ObjectReader::duration(std::string_view aKey,
                       Duration& aTarget,
                       IntegerRange aRange,
                       Duration aUnit)
{
  std::uint64_t count = 0;
  if (readInteger(aKey, count, aRange, Presence::Optional)) {
    aTarget = static_cast<std::int64_t>(count) * aUnit;
  }
}

void
ObjectReader::milliseconds(std::string_view aKey, Duration& aTarget, IntegerRange aRange)
{
  duration(aKey, aTarget, aRange, 1ms);
}

void
ObjectReader::seconds(std::string_view aKey, Duration& aTarget, IntegerRange aRange)
{
  duration(aKey, aTarget, aRange, 1s);
}

void
ObjectReader::text(std::string_view aKey,
                   std::string& aTarget,
                   Check aCheck,
                   Presence aPresence)
{
  const Json::Value* value = member(aKey, aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->isString()) {
    mContext.error(pathOf(aKey), wrongType("a string", *value));
    return;
  }
  std::string content = value->asString();
  if (auto complaint = aCheck(content)) {
    mContext.error(pathOf(aKey), std::move(*complaint));
    return;
  }
  aTarget = std::move(content);
}

bool
ObjectReader::readChoice(std::string_view aKey,
                         std::string& aTarget,
                         const std::vector<std::string_view>& aNames,
                         Presence aPresence)
{
  const Json::Value* value = member(aKey, aPresence);
  if (value == nullptr) {
    return false;
  }
  if (!value->isString()) {
    mContext.error(pathOf(aKey), wrongType("a string", *value));
    return false;
  }
  aTarget = value->asString();
  if (std::find(aNames.begin(), aNames.end(), aTarget) == aNames.end()) {
    mContext.error(pathOf(aKey),
                   inQuotes(aTarget) + " is not one of " + joined(aNames) +
                     suggestion(aTarget, aNames));
    return false;
  }
  return true;
}

void
ObjectReader::texts(std::string_view aKey,
                    std::vector<std::string>& aTarget,
                    Check aCheck,
                    Presence aPresence)
{
  const std::size_t errors = mContext.findings.errors();
  std::set<std::string> seen;
  elements(aKey, aPresence, [&](const KeyPath& aPath, const Json::Value& aValue) {
    if (!aValue.isString()) {
      mContext.error(aPath, wrongType("a string", aValue));
      return;
    }
    std::string content = aValue.asString();
    if (auto complaint = aCheck(content)) {
      mContext.error(aPath, std::move(*complaint));
    } else if (!seen.insert(content).second) {
      mContext.error(aPath, inQuotes(content) + " is listed twice");
    } else {
      aTarget.push_back(std::move(content));
    }
  });
  const bool empty = aTarget.empty() && errors == mContext.findings.errors();
  if (empty && aPresence == Presence::Required) {
    mContext.error(pathOf(aKey), "must not be empty");
  }
}

void
ObjectReader::elements(std::string_view aKey, Presence aPresence, const Visitor& aVisitor)
{
  const Json::Value* value = member(aKey, aPresence);
  if (value == nullptr) {
    return;
  }
  const KeyPath path = pathOf(aKey);
  if (!value->isArray()) {
    mContext.error(path, wrongType("an array", *value));
    return;
  }
  for (Json::ArrayIndex index = 0; index < value->size(); ++index) {
    aVisitor(elementOf(path, index), (*value)[index]);
  }
}

void
ObjectReader::named(std::string_view aKey,
                    Presence aPresence,
                    const NamedVisitor& aVisitor)
{
  const Json::Value* value = member(aKey, aPresence);
  if (value == nullptr) {
    return;
  }
  const KeyPath path = pathOf(aKey);
  if (!value->isObject()) {
    mContext.error(path, wrongType("an object", *value));
    return;
  }
  for (auto entry = value->begin(); entry != value->end(); ++entry) {
    const std::string name = entry.name();
    const KeyPath entry_path = memberOf(path, name);
    if (auto complaint = checkName(name)) {
      mContext.error(entry_path, std::move(*complaint));
    }
    aVisitor(name, entry_path, *entry);
  }
}

void
ObjectReader::finish()
{
  if (!valid()) {
    return;
  }
  for (auto entry = mValue.begin(); entry != mValue.end(); ++entry) {
    const std::string key = entry.name();
    if (std::find(mKnown.begin(), mKnown.end(), key) == mKnown.end()) {
      const bool listed = !mContext.findings.full();
      mContext.error(pathOf(key),
                     "unknown key" + (listed ? suggestion(key, mKnown) : ""));
    }
  }
}

} // namespace savoryrill::config
