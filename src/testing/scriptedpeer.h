#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event/loop.h"
#include "link/socket.h"

namespace savoryrill::testing {

/// One raw TCP connection of a test: what arrives is collected, and bytes are sent as
/// given, whether they make sense or not. Not thread safe.
class RawConnection
{
public:
  RawConnection(event::Loop& aLoop, link::Socket aSocket);

  /// Connects to a port of loopback. Precondition: something listens there.
  static std::unique_ptr<RawConnection> connect(event::Loop& aLoop, std::uint16_t aPort);

  void send(std::string_view aBytes);
  /// Ends the connection cleanly or with a reset. The kernel sends a reset for `close`,
  /// too, if received bytes are unread.
  void close();
  void reset();
  /// Sends the end of the input and goes on reading.
  void endSending();

  /// Stops and resumes reading.
  void pause(bool aPaused);

  const std::string& received() const { return mReceived; }
  void clear() { mReceived.clear(); }
  /// True once the other side has ended the connection.
  bool ended() const { return mEnded; }
  void onData(std::function<void()> aCallback) { mOnData = std::move(aCallback); }

private:
  void read();

  event::Loop& mLoop;
  link::Socket mSocket;
  event::Watch mWatch;
  std::string mReceived;
  std::function<void()> mOnData;
  bool mEnded = false;
};

/// The segment size of Ethernet. With that of loopback, 65,483 bytes, the kernel takes a
/// request of 1 MB at once, and nothing of it is left unsent.
inline constexpr int kEthernetSegment = 1400;

/// An upstream of a test that answers with raw bytes. Counts the requests that it has
/// received in full. Not thread safe.
class ScriptedPeer
{
public:
  using Answer = std::function<void(RawConnection&, const std::string& aRequest)>;

  /// `aSegment`: size of the segments that it accepts in bytes; 0: that of the link.
  ScriptedPeer(event::Loop& aLoop, Answer aAnswer, int aSegment = 0);

  std::uint16_t port() const { return mPort; }
  /// Whole requests, in the order of their arrival.
  const std::vector<std::string>& requests() const { return mRequests; }
  std::size_t connections() const { return mConnections.size(); }
  RawConnection& connection(std::size_t aIndex) { return *mConnections.at(aIndex); }
  void setAnswer(Answer aAnswer) { mAnswer = std::move(aAnswer); }
  /// Resets all connections and refuses new ones, as if the process had crashed.
  void crash();
  /// Ends all connections without a reset and refuses new ones, as when a process ends
  /// that has read everything it was sent.
  void exit();

private:
  void stopListening();
  void accept();
  void takeRequests(RawConnection& aConnection);

  event::Loop& mLoop;
  Answer mAnswer;
  link::Socket mListener;
  std::uint16_t mPort = 0;
  event::Watch mWatch;
  std::vector<std::unique_ptr<RawConnection>> mConnections;
  std::vector<std::string> mRequests;
};

/// A free port of loopback that is not handed out to other processes which call this
/// function. Not thread safe.
std::uint16_t
freePort();

/// Value of a header line in raw HTTP text, empty if there is none.
std::string
headerOf(const std::string& aText, std::string_view aName);

/// A response with a length.
std::string
rawResponse(int aStatus, const std::string& aHeaders, const std::string& aBody);

} // namespace savoryrill::testing
