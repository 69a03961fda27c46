#include "transport/internal/zapauthenticator.h"

#include <array>
#include <cstdint>
#include <vector>

namespace savoryrill::transport {

namespace {

constexpr const char* kZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t kKeyBytes = 32;

// Positions of the frames in a ZAP request, and their number.
constexpr std::size_t kVersionFrame = 0;
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kCredentialsFrame = 6;
constexpr std::size_t kRequestFrames = 7;

} // namespace

ZapAuthenticator::ZapAuthenticator(zmq::context_t& aContext,
                                   event::Loop& aLoop,
                                   const CurveKeyPair& aKeys)
  : mLoop(aLoop)
  , mSocket(aContext, zmq::socket_type::rep)
{
  std::array<std::uint8_t, kKeyBytes> key{};
  zmq_z85_decode(key.data(), aKeys.publicKey.c_str());
  mAcceptedKey.assign(key.begin(), key.end());
  mSocket.set(zmq::sockopt::linger, 0);
  mSocket.bind(kZapEndpoint);
  const int fd = mSocket.get(zmq::sockopt::fd);
  mWatch = mLoop.watch(fd, { .readable = true }, [this](auto) { process(); });
}

void
ZapAuthenticator::process()
{
  try {
    while ((mSocket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0 && handleRequest()) {
    }
  } catch (const zmq::error_t&) {
    // Interrupted by a signal. The descriptor stays readable, or else the peer's
    // handshake times out and the peer repeats it.
    return;
  }
}

bool
ZapAuthenticator::handleRequest()
{
  std::vector<std::string> request;
  bool more = true;
  while (more) {
    zmq::message_t frame;
    if (!mSocket.recv(frame, zmq::recv_flags::dontwait)) {
      return false;
    }
    more = frame.more();
    request.push_back(frame.to_string());
  }
  const bool accepted = request.size() == kRequestFrames &&
                        request[kMechanismFrame] == "CURVE" &&
                        request[kCredentialsFrame] == mAcceptedKey;
  const bool has_id = request.size() > kRequestIdFrame;
  const std::array<std::string, 6> reply{ request[kVersionFrame],
                                          has_id ? request[kRequestIdFrame] : "",
                                          accepted ? "200" : "400",
                                          accepted ? "OK" : "not a key of this fleet",
                                          "",
                                          "" };
  for (std::size_t index = 0; index < reply.size(); ++index) {
    const bool last = index + 1 == reply.size();
    mSocket.send(zmq::buffer(reply.at(index)),
                 last ? zmq::send_flags::dontwait
                      : zmq::send_flags::dontwait | zmq::send_flags::sndmore);
  }
  return true;
}

} // namespace savoryrill::transport
