#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <json/json.h>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "config/internal/document.h"
#include "config/internal/values.h"

namespace savoryrill::config {

/// Where findings go and how they are located.
struct ReadContext
{
  const Locator& locator;
  FindingCollector& findings;

  void error(const KeyPath& aPath, std::string aMessage) const;
  void warning(const KeyPath& aPath, std::string aMessage) const;
};

enum class Presence
{
  Required,
  Optional
};

/// Inclusive bounds.
template<typename T>
struct Range
{
  T minimum{};
  T maximum{};
};

using IntegerRange = Range<std::uint64_t>;

/// Reads the members of one JSON object into typed fields, keeps the field's default if a
/// member is missing or wrong, and reports unknown members at the end. All keys must be
/// asked for before `finish`.
class ObjectReader
{
public:
  using Check = Complaint (*)(std::string_view);
  using Visitor = std::function<void(const KeyPath&, const Json::Value&)>;
  using NamedVisitor =
    std::function<void(const std::string&, const KeyPath&, const Json::Value&)>;

  ObjectReader(const ReadContext& aContext, KeyPath aPath, const Json::Value& aValue);

  /// False if the value is not an object; it has been reported.
  bool valid() const { return mValue.isObject(); }
  const KeyPath& path() const { return mPath; }
  KeyPath pathOf(std::string_view aKey) const { return memberOf(mPath, aKey); }

  /// The member, or null if it is absent; a missing required one is reported.
  const Json::Value* member(std::string_view aKey, Presence aPresence);

  /// Reads a whole number. Precondition: the range fits `T`.
  template<std::unsigned_integral T>
  void integer(std::string_view aKey,
               T& aTarget,
               IntegerRange aRange,
               Presence aPresence = Presence::Optional)
  {
    std::uint64_t value = aTarget;
    if (readInteger(aKey, value, aRange, aPresence)) {
      aTarget = static_cast<T>(value);
    }
  }

  void real(std::string_view aKey, double& aTarget, Range<double> aRange);
  void boolean(std::string_view aKey, bool& aTarget);
  void milliseconds(std::string_view aKey, Duration& aTarget, IntegerRange aRange);
  void seconds(std::string_view aKey, Duration& aTarget, IntegerRange aRange);
  void text(std::string_view aKey,
            std::string& aTarget,
            Check aCheck,
            Presence aPresence = Presence::Optional);

  template<typename E>
  void enumeration(std::string_view aKey,
                   E& aTarget,
                   Presence aPresence = Presence::Optional)
  {
    std::vector<std::string_view> names;
    for (const auto& [value, name] : EnumNames<E>::kTable) {
      names.push_back(name);
    }
    std::string name;
    if (readChoice(aKey, name, names, aPresence)) {
      aTarget = *fromName<E>(name);
    }
  }

  /// Reads an array of different strings; not empty if it is required.
  void texts(std::string_view aKey,
             std::vector<std::string>& aTarget,
             Check aCheck,
             Presence aPresence = Presence::Optional);

  /// Visits the elements of an array.
  void elements(std::string_view aKey, Presence aPresence, const Visitor& aVisitor);

  /// Visits the members of an object whose keys are names.
  void named(std::string_view aKey, Presence aPresence, const NamedVisitor& aVisitor);

  /// Reports members that were not asked for.
  void finish();

private:
  bool readInteger(std::string_view aKey,
                   std::uint64_t& aTarget,
                   IntegerRange aRange,
                   Presence aPresence);
  bool readChoice(std::string_view aKey,
                  std::string& aTarget,
                  const std::vector<std::string_view>& aNames,
                  Presence aPresence);
  void duration(std::string_view aKey,
                Duration& aTarget,
                IntegerRange aRange,
                Duration aUnit);

  const ReadContext& mContext;
  KeyPath mPath;
  const Json::Value& mValue;
  std::vector<std::string_view> mKnown;
};

} // namespace savoryrill::config
