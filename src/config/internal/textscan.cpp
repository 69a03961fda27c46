#include "config/internal/textscan.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace savoryrill::config {

namespace {

bool
isDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/// Length of the UTF-8 sequence at the start of `aText`, 0 if it is invalid.
std::size_t
sequenceLength(std::string_view aText)
{
  const auto byte = [&](std::size_t aIndex) {
    return aIndex < aText.size() ? static_cast<unsigned char>(aText[aIndex]) : 0U;
  };
  const auto continues = [&](std::size_t aIndex) {
    return (byte(aIndex) & 0xC0U) == 0x80U;
  };
  const unsigned first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return continues(1) ? 2 : 0;
  }
  if (first >= 0xE0 && first <= 0xEF) {
    const bool overlong = first == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = first == 0xED && byte(1) >= 0xA0;
    return continues(1) && continues(2) && !overlong && !surrogate ? 3 : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const bool overlong = first == 0xF0 && byte(1) < 0x90;
    const bool above = first == 0xF4 && byte(1) >= 0x90;
    return continues(1) && continues(2) && continues(3) && !overlong && !above ? 4 : 0;
  }
  return 0;
}

/// Checks the number grammar of RFC 8259; the parser accepts more, such as `-` or
/// `1.2.3`.
bool
isNumber(std::string_view aText)
{
  std::size_t at = 0;
  const auto digits = [&] {
    const std::size_t begin = at;
    while (at < aText.size() && isDigit(aText[at])) {
      ++at;
    }
    return at - begin;
  };
  const auto accept = [&](std::string_view aSet) {
    const bool found = at < aText.size() && aSet.find(aText[at]) != aSet.npos;
    at += found ? 1 : 0;
    return found;
  };
  accept("-");
  const bool leading_zero = at < aText.size() && aText[at] == '0';
  const std::size_t integer_digits = digits();
  if (integer_digits == 0 || (leading_zero && integer_digits > 1)) {
    return false;
  }
  if (accept(".") && digits() == 0) {
    return false;
  }
  if (accept("eE")) {
    accept("+-");
    if (digits() == 0) {
      return false;
    }
  }
  return at == aText.size();
}

class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mText(aText)
  {
  }

  std::vector<TextFault> run()
  {
    while (mAt < mText.size() && !mStopped) {
      step();
    }
    return std::move(mFaults);
  }

private:
  struct Frame
  {
    bool object = false;
    bool expectsKey = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string, std::less<>> keys;
  };

  KeyPath path() const
  {
    KeyPath result;
    for (const auto& frame : mFrames) {
      result.push_back(frame.object ? frame.key
                                    : "[" + std::to_string(frame.index) + "]");
    }
    return result;
  }

  void fault(std::size_t aOffset, std::string aMessage)
  {
    mFaults.push_back({ aOffset, path(), std::move(aMessage) });
  }

  void step()
  {
    switch (mText[mAt]) {
      case '{':
      case '[':
        open(mText[mAt] == '{');
        break;
      case '}':
      case ']':
        if (!mFrames.empty()) {
          mFrames.pop_back();
        }
        ++mAt;
        break;
      case ',':
        nextMember();
        break;
      case '"':
        readString();
        break;
      case '/':
        skipComment();
        break;
      default:
        readOther();
    }
  }

  void open(bool aObject)
  {
    if (mFrames.size() >= kMaxDepth) {
      fault(mAt, "nesting is deeper than " + std::to_string(kMaxDepth) + " levels");
      mStopped = true;
      return;
    }
    mFrames.push_back({ aObject, aObject, 0, {}, {} });
    ++mAt;
  }

  void nextMember()
  {
    if (!mFrames.empty()) {
      mFrames.back().expectsKey = mFrames.back().object;
      ++mFrames.back().index;
    }
    ++mAt;
  }

  void readString()
  {
    const std::size_t begin = ++mAt;
    while (mAt < mText.size() && mText[mAt] != '"') {
      mAt += mText[mAt] == '\\' ? 2 : 1;
    }
    const std::size_t end = std::min(mAt, mText.size());
    ++mAt;
    if (mFrames.empty() || !mFrames.back().expectsKey) {
      return;
    }
    auto& frame = mFrames.back();
    frame.expectsKey = false;
    frame.key = std::string(mText.substr(begin, end - begin));
    if (!frame.keys.insert(frame.key).second) {
      fault(begin, "the key is given twice");
    }
  }

  void skipComment()
  {
    const std::string_view rest = mText.substr(mAt);
    std::size_t length = 1;
    if (rest.starts_with("//")) {
      length = std::min(rest.find('\n'), rest.size());
    } else if (rest.starts_with("/*")) {
      const auto end = rest.find("*/", 2);
      length = end == rest.npos ? rest.size() : end + 2;
    }
    mAt += length;
  }

  void readOther()
  {
    const std::string_view rest = mText.substr(mAt);
    if (!isDigit(rest.front()) && rest.front() != '-') {
      ++mAt;
      return;
    }
    const auto length = std::min(rest.find_first_not_of("+-.0123456789eE"), rest.size());
    if (!isNumber(rest.substr(0, length))) {
      fault(mAt, inQuotes(rest.substr(0, length)) + " is not a number");
    }
    mAt += length;
  }

  std::string_view mText;
  std::size_t mAt = 0;
  bool mStopped = false;
  std::vector<Frame> mFrames;
  std::vector<TextFault> mFaults;
};

std::size_t
findControlCharacter(std::string_view aText)
{
  const auto found = std::find_if(aText.begin(), aText.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    const bool white = byte == '\n' || byte == '\r' || byte == '\t';
    return (byte < 0x20 && !white) || byte == 0x7f;
  });
  return found == aText.end() ? std::string_view::npos
                              : static_cast<std::size_t>(found - aText.begin());
}

} // namespace

std::size_t
findInvalidUtf8(std::string_view aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t length = sequenceLength(aText.substr(at));
    if (length == 0) {
      return at;
    }
    at += length;
  }
  return std::string_view::npos;
}

std::vector<TextFault>
scanText(std::string_view aText)
{
  if (const auto at = findInvalidUtf8(aText); at != std::string_view::npos) {
    return { { at, {}, "the text is not valid UTF-8" } };
  }
  // The parser takes a NUL byte for the end of the text and would ignore what follows.
  if (const auto at = findControlCharacter(aText); at != std::string_view::npos) {
    return { { at, {}, "the text contains a control character" } };
  }
  return Scanner(aText).run();
}

} // namespace savoryrill::config
