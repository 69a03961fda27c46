#include "transport/curvekeyfiles.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

namespace savoryrill::transport {

namespace {

constexpr std::size_t kKeyTextBytes = 40;
constexpr std::size_t kKeyBytes = 32;
constexpr mode_t kSecretMode = 0600;
constexpr mode_t kPublicMode = 0644;

using KeyText = std::array<char, kKeyTextBytes + 1>;

Result<void>
writeNewFile(const std::string& aPath, const std::string& aText, mode_t aMode)
{
  const int fd = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, aMode);
  if (fd < 0) {
    const ErrorCode code = errno == EEXIST ? ErrorCode::Conflict : ErrorCode::Unavailable;
    return fail(code, "cannot create " + aPath + ": " + std::strerror(errno));
  }
  const auto size = static_cast<ssize_t>(aText.size());
  const bool written = ::write(fd, aText.data(), aText.size()) == size;
  if (::close(fd) != 0 || !written) {
    ::unlink(aPath.c_str());
    return fail(ErrorCode::Unavailable, "cannot write " + aPath);
  }
  return outcome::success();
}

Result<std::string>
readKey(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot read key file " + aPath);
  }
  while (!text.empty() && std::strchr(" \t\r\n", text.back()) != nullptr) {
    text.pop_back();
  }
  text.erase(0, text.find_first_not_of(" \t\r\n"));
  std::array<std::uint8_t, kKeyBytes> bytes{};
  const bool usable =
    text.size() == kKeyTextBytes && zmq_z85_decode(bytes.data(), text.c_str()) != nullptr;
  if (!usable) {
    return fail(ErrorCode::InvalidArgument,
                "expected a z85 key of 40 characters in " + aPath);
  }
  return text;
}

} // namespace

Result<void>
generateCurveKeys(const CurveKeys& aFiles)
{
  KeyText public_key{};
  KeyText secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    return fail(ErrorCode::Internal, "libzmq was built without CURVE support");
  }
  BOOST_OUTCOME_TRYV(writeNewFile(
    aFiles.secretKeyFile, std::string(secret_key.data()) + "\n", kSecretMode));
  const auto written = writeNewFile(
    aFiles.publicKeyFile, std::string(public_key.data()) + "\n", kPublicMode);
  if (!written) {
    // A secret key without its public key is useless, and its file would make the next
    // call fail.
    ::unlink(aFiles.secretKeyFile.c_str());
  }
  return written;
}

Result<CurveKeyPair>
readCurveKeys(const CurveKeys& aFiles)
{
  BOOST_OUTCOME_TRY(secret_key, readKey(aFiles.secretKeyFile));
  BOOST_OUTCOME_TRY(public_key, readKey(aFiles.publicKeyFile));
  KeyText derived{};
  if (zmq_curve_public(derived.data(), secret_key.c_str()) != 0) {
    return fail(ErrorCode::InvalidArgument,
                "no valid secret key in " + aFiles.secretKeyFile);
  }
  if (public_key != derived.data()) {
    return fail(ErrorCode::InvalidArgument,
                aFiles.publicKeyFile + " does not match the secret key in " +
                  aFiles.secretKeyFile);
  }
  return CurveKeyPair{ secret_key, public_key };
}

} // namespace savoryrill::transport
