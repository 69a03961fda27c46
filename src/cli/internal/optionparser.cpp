#include "cli/internal/optionparser.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace savoryrill::cli {

namespace {

struct FreeContext
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};
using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, FreeContext>;

std::string
takeArgument(poptContext aContext)
{
  const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(aContext),
                                                             &std::free);
  return argument ? argument.get() : "";
}

std::string
helpText(poptContext aContext)
{
  char* buffer = nullptr;
  std::size_t size = 0;
  std::FILE* stream = ::open_memstream(&buffer, &size);
  if (stream == nullptr) {
    return "";
  }
  poptPrintHelp(aContext, stream, 0);
  std::fclose(stream);
  std::string result(buffer, size);
  std::free(buffer);
  return result;
}

} // namespace

OptionParser::OptionParser(std::string aCommand, std::string aSummary)
  : mCommand(std::move(aCommand))
  , mSummary(std::move(aSummary))
{
}

void
OptionParser::flag(const char* aName, const char* aHelp, bool& aTarget)
{
  mOptions.push_back({ aName, nullptr, aHelp, [&aTarget](const std::string&) {
                        aTarget = true;
                        return std::string();
                      } });
}

void
OptionParser::value(const char* aName,
                    const char* aArgument,
                    const char* aHelp,
                    Setter aSetter)
{
  mOptions.push_back({ aName, aArgument, aHelp, std::move(aSetter) });
}

void
OptionParser::text(const char* aName,
                   const char* aArgument,
                   const char* aHelp,
                   std::string& aTarget)
{
  value(aName, aArgument, aHelp, [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string(aText.empty() ? "must not be empty" : "");
  });
}

Result<std::string>
OptionParser::parse(const std::vector<std::string>& aWords) const
{
  std::vector<poptOption> table;
  int value = 0;
  for (const auto& option : mOptions) {
    const unsigned type = option.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back(
      { option.name, '\0', type, nullptr, ++value, option.help, option.argument });
  }
  const int help = ++value;
  table.push_back(
    { "help", 'h', POPT_ARG_NONE, nullptr, help, "Show this text", nullptr });
  table.push_back(POPT_TABLEEND);

  std::vector<const char*> arguments{ mCommand.c_str() };
  for (const auto& word : aWords) {
    arguments.push_back(word.c_str());
  }
  arguments.push_back(nullptr);
  const Context context(poptGetContext(mCommand.c_str(),
                                       static_cast<int>(arguments.size() - 1),
                                       arguments.data(),
                                       table.data(),
                                       0));
  poptSetOtherOptionHelp(context.get(), "[OPTION...]");

  const auto wrong = [&](const std::string& aMessage) {
    return fail(ErrorCode::InvalidArgument,
                mCommand + ": " + aMessage + "; see " + mCommand + " --help");
  };
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    if (found == help) {
      return helpText(context.get()) + "\n" + mSummary + "\n";
    }
    const auto& option = mOptions[static_cast<std::size_t>(found) - 1];
    const std::string complaint = option.setter(takeArgument(context.get()));
    if (!complaint.empty()) {
      return wrong("--" + std::string(option.name) + " " + complaint);
    }
  }
  if (found < -1) {
    return wrong(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
                 ": " + poptStrerror(found));
  }
  if (const char* extra = poptGetArg(context.get()); extra != nullptr) {
    return wrong("unexpected argument '" + std::string(extra) + "'");
  }
  return std::string();
}

} // namespace savoryrill::cli
