#pragma once

namespace savoryrill::transport {

// Counters of frames between processes.
inline constexpr const char* kReceivedSeries = "savoryrill_peer_frames_received_total";
inline constexpr const char* kSentSeries = "savoryrill_peer_frames_sent_total";
inline constexpr const char* kReceivedBytesSeries =
  "savoryrill_peer_bytes_received_total";
inline constexpr const char* kSentBytesSeries = "savoryrill_peer_bytes_sent_total";
/// Frames that were not sent because the queue was full, the connection was gone or the
/// frame was too large.
inline constexpr const char* kUnsentSeries = "savoryrill_peer_frames_unsent_total";
inline constexpr const char* kMalformedSeries = "savoryrill_peer_frames_malformed_total";
/// Frames dropped because they arrived before the sender's `Hello` or came from a process
/// that has been replaced.
inline constexpr const char* kStraySeries = "savoryrill_peer_frames_stray_total";

} // namespace savoryrill::transport
