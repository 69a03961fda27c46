#include "testing/internal/commandline.h"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <utility>

namespace savoryrill::testing {

namespace {

template<typename Number>
Result<Number>
readNumber(const std::string& aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end) {
    return fail(ErrorCode::InvalidArgument, "not a number: " + aText);
  }
  return number;
}

template<typename Number>
CommandLine::Setter
numberSetter(Number& aTarget)
{
  return [&aTarget](const std::string& aText) -> Result<void> {
    BOOST_OUTCOME_TRY(number, readNumber<Number>(aText));
    aTarget = number;
    return outcome::success();
  };
}

} // namespace

void
CommandLine::add(const char* aName, Setter aSetter, const char* aHelp)
{
  mOptions.push_back({ aName, true, std::move(aSetter), aHelp });
}

void
CommandLine::add(const char* aName, std::string& aTarget, const char* aHelp)
{
  const Setter setter = [&aTarget](const std::string& aText) -> Result<void> {
    aTarget = aText;
    return outcome::success();
  };
  add(aName, setter, aHelp);
}

void
CommandLine::add(const char* aName, std::uint32_t& aTarget, const char* aHelp)
{
  add(aName, numberSetter(aTarget), aHelp);
}

void
CommandLine::add(const char* aName, std::uint64_t& aTarget, const char* aHelp)
{
  add(aName, numberSetter(aTarget), aHelp);
}

void
CommandLine::add(const char* aName, double& aTarget, const char* aHelp)
{
  add(aName, numberSetter(aTarget), aHelp);
}

void
CommandLine::add(const char* aName, Duration& aTarget, const char* aHelp)
{
  constexpr double kMaxMs = 1e12;
  const Setter setter = [&aTarget](const std::string& aText) -> Result<void> {
    BOOST_OUTCOME_TRY(time_ms, readNumber<double>(aText));
    if (!(time_ms >= 0 && time_ms <= kMaxMs)) {
      return fail(ErrorCode::InvalidArgument, "out of range: " + aText);
    }
    aTarget = Duration(std::llround(time_ms * 1000));
    return outcome::success();
  };
  add(aName, setter, aHelp);
}

void
CommandLine::add(const char* aName, std::vector<std::string>& aTarget, const char* aHelp)
{
  const Setter setter = [&aTarget](const std::string& aText) -> Result<void> {
    aTarget.push_back(aText);
    return outcome::success();
  };
  add(aName, setter, aHelp);
}

void
CommandLine::addFlag(const char* aName, bool& aTarget, bool aValue, const char* aHelp)
{
  const Setter setter = [&aTarget, aValue](const std::string&) -> Result<void> {
    aTarget = aValue;
    return outcome::success();
  };
  mOptions.push_back({ aName, false, setter, aHelp });
}

Result<void>
CommandLine::parse(int aCount, const char** aArguments)
{
  std::vector<poptOption> table;
  for (const auto& option : mOptions) {
    const int type = option.takesValue ? POPT_ARG_STRING : POPT_ARG_NONE;
    const int number = static_cast<int>(table.size()) + 1;
    table.push_back({ option.name,
                      '\0',
                      unsigned(type),
                      nullptr,
                      number,
                      option.help,
                      option.takesValue ? "VALUE" : nullptr });
  }
  table.push_back({ nullptr,
                    '\0',
                    POPT_ARG_INCLUDE_TABLE,
                    poptHelpOptions,
                    0,
                    "Help options:",
                    nullptr });
  table.push_back(poptOption{});
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(aArguments[0], aCount, aArguments, table.data(), 0), &poptFreeContext);
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    const auto& option = mOptions[static_cast<std::size_t>(found) - 1];
    const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                            &std::free);
    const auto set = option.setter(value ? value.get() : "");
    if (!set) {
      return fail(ErrorCode::InvalidArgument,
                  std::string("--") + option.name + ": " + set.error().message);
    }
  }
  if (found < -1) {
    return fail(ErrorCode::InvalidArgument,
                std::string(poptBadOption(context.get(), 0)) + ": " +
                  poptStrerror(found));
  }
  if (const char* extra = poptGetArg(context.get())) {
    return fail(ErrorCode::InvalidArgument, std::string("unexpected argument: ") + extra);
  }
  return outcome::success();
}

} // namespace savoryrill::testing
