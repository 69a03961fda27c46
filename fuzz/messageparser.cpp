#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "link/internal/messageparser.h"

using namespace savoryrill;
using link::MessageKind;

namespace {

/// Records the messages of a connection, and ends the process if a head has reached it
/// that the protocol does not allow.
class Recorder : public link::IMessageListener
{
public:
  explicit Recorder(MessageKind aKind)
    : mKind(aKind)
    , mParser(aKind, *this)
  {
  }

  bool headReceived() override
  {
    const bool response = mKind == MessageKind::Response;
    const int status = response ? mParser.status() : 0;
    const bool allowed =
      (!response || link::isResponseStatus(status)) &&
      link::isAllowedFraming(mParser.headers(), status, mParser.isHttp10()) &&
      std::ranges::all_of(mParser.headers(), [](const link::Header& aField) {
        return link::isAllowedField(aField.name, aField.value);
      });
    if (!allowed) {
      std::abort();
    }
    messages.emplace_back();
    for (const auto& field : mParser.headers()) {
      messages.back() += field.name + ":" + field.value + "\n";
    }
    return true;
  }
  void bodyReceived(std::string_view aData) override { messages.back().append(aData); }
  void messageReceived() override { ++complete; }

  /// Parses the input in pieces of `aPiece` bytes.
  void read(std::string_view aInput, std::size_t aPiece)
  {
    while (!aInput.empty()) {
      auto part = aInput.substr(0, aPiece);
      aInput.remove_prefix(part.size());
      while (!part.empty()) {
        const std::size_t taken = mParser.parse(part);
        if (mParser.failed() || mParser.headTooLarge()) {
          failed = true;
          return;
        }
        if (taken == 0) {
          std::abort(); // a connection would read the same input for ever
        }
        part.remove_prefix(taken);
      }
    }
  }

  std::vector<std::string> messages;
  int complete = 0;
  bool failed = false;

private:
  MessageKind mKind;
  link::MessageParser mParser;
};

} // namespace

/// The same bytes are the same messages, in whatever pieces they arrive. The first byte
/// chooses requests or responses and the size of the pieces.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::string_view input(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  const auto kind = (aData[0] & 1U) != 0 ? MessageKind::Request : MessageKind::Response;
  Recorder whole(kind);
  whole.read(input, std::max<std::size_t>(1, input.size()));
  Recorder pieces(kind);
  pieces.read(input, 1 + (aData[0] >> 1U) % 16U);
  const bool same = whole.failed == pieces.failed && whole.complete == pieces.complete &&
                    whole.messages.size() == pieces.messages.size() &&
                    (whole.failed || whole.messages == pieces.messages);
  if (!same) {
    std::abort();
  }
  return 0;
}
