#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "link/internal/messageparser.h"
#include "link/memorybudget.h"

using namespace savoryrill;

namespace {

constexpr std::size_t kMaxHead = 512;
constexpr std::size_t kMaxBody = 1024;

/// Receives requests as a connection of a caller does, and counts what it holds.
class Receiver
  : public link::IMessageListener
  , public link::IMemoryHolder
{
public:
  explicit Receiver(link::MemoryBudget& aBudget)
    : mParser(link::MessageParser::Kind::Request, *this)
    , mAccount(std::make_shared<link::MemoryAccount>(aBudget, *this))
    , mHead(mAccount, link::MemoryKind::Head)
    , mBody(mAccount, link::MemoryKind::Body)
  {
    mParser.setMaxHeadBytes(kMaxHead);
  }

  bool headReceived() override { return true; }
  void bodyReceived(std::string_view aData) override
  {
    mTooLarge = mTooLarge || mText.size() + aData.size() > kMaxBody;
    if (mTooLarge) {
      link::releaseBuffer(mText);
    } else {
      link::appendGrowing(mText, aData, kMaxBody);
    }
  }
  void messageReceived() override { mComplete = true; }
  void giveUpMemory() override
  {
    mGaveUp = true;
    release();
  }

  /// Parses input that arrives in one read; false once the connection would end.
  bool read(std::string_view aData, Instant aNow)
  {
    while (!aData.empty()) {
      const bool was_in_message = mParser.inMessage();
      const std::size_t taken = mParser.parse(aData);
      if (mParser.failed() || mParser.headTooLarge() || mParser.tooManyEmptyLines() ||
          mTooLarge || mGaveUp) {
        return false;
      }
      if (taken == 0) {
        std::abort(); // a connection would read the same input for ever
      }
      if (!was_in_message && mParser.inMessage()) {
        mAccount->startRequest(kMaxBody, aNow);
      }
      mAccount->recordProgress(taken, aNow);
      mHead.set(mParser.headMemory());
      mBody.set(link::bufferMemory(mText));
      if (mComplete) {
        release();
      }
      aData.remove_prefix(taken);
    }
    return true;
  }

private:
  void release()
  {
    mComplete = false;
    (void)mParser.takeTarget();
    (void)mParser.takeHeaders();
    link::releaseBuffer(mText);
    mHead.set(0);
    mBody.set(0);
    mAccount->setStage(link::MemoryAccount::Stage::Idle);
  }

  link::MessageParser mParser;
  std::shared_ptr<link::MemoryAccount> mAccount;
  link::MemoryCharge mHead;
  link::MemoryCharge mBody;
  std::string mText;
  bool mComplete = false;
  bool mTooLarge = false;
  bool mGaveUp = false;
};

} // namespace

/// Two callers send the input in turn, in pieces whose size the first byte gives. What is
/// counted for them stays bounded, and nothing is counted once they are gone.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  // A header line takes at least 3 bytes as text; the list may grow to twice its size.
  constexpr std::size_t kMaxPerCaller =
    2 * sizeof(link::Header) * (kMaxHead / 3 + 2) + kMaxHead + 2 * kMaxBody;
  if (aSize == 0) {
    return 0;
  }
  std::string_view input(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  const std::size_t piece = aData[0] + 1UL;
  link::MemoryBudget budget(kMaxPerCaller);
  Instant now{ 1s };
  {
    Receiver first(budget);
    Receiver second(budget);
    bool first_open = true;
    bool second_open = true;
    while (!input.empty() && (first_open || second_open)) {
      const auto part = input.substr(0, piece);
      input.remove_prefix(part.size());
      first_open = first_open && first.read(part, now);
      second_open = second_open && second.read(part, now);
      if (budget.bytes() > 2 * kMaxPerCaller) {
        std::abort();
      }
      while (budget.exceeded() && budget.evictOne(true, now)) {
      }
      now += 1ms;
    }
  }
  if (budget.bytes() != 0 || budget.accounts() != 0) {
    std::abort();
  }
  return 0;
}
