#pragma once

#include <string>
#include <zmq.hpp>

#include "event/loop.h"
#include "transport/curvekeyfiles.h"

namespace savoryrill::transport {

/// Accepts only peers that hold the fleet's key pair; libzmq by itself accepts every
/// client that knows the server's public key. Handles the authentication requests
/// (ZAP 1.0) of one context on the loop. Must be destroyed before both. Not thread safe.
class ZapAuthenticator
{
public:
  /// Throws `zmq::error_t` if the context already has an authenticator.
  ZapAuthenticator(zmq::context_t& aContext,
                   event::Loop& aLoop,
                   const CurveKeyPair& aKeys);

private:
  void process();
  bool handleRequest();

  event::Loop& mLoop;
  zmq::socket_t mSocket;
  std::string mAcceptedKey; // the public key, 32 bytes
  event::Watch mWatch;
};

} // namespace savoryrill::transport
