#include "gateway/internal/promptevidencecodec.h"

#include <algorithm>

#include "transport/proto/peer.pb.h"

namespace savoryrill::gateway {

namespace {

// Bounds what a message can make this host remember.
constexpr int kMaxParts = 1024;
constexpr int kMaxCrashes = 16;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxAgeMs = 24LL * 3600 * 1000;

Duration
fromMs(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(std::clamp(aMilliseconds, -kMaxAgeMs, kMaxAgeMs));
}

Duration
ageOf(std::uint64_t aMilliseconds)
{
  return fromMs(static_cast<std::int64_t>(
    std::min<std::uint64_t>(aMilliseconds, static_cast<std::uint64_t>(kMaxAgeMs))));
}

std::uint64_t
ageMs(Instant aTime, Instant aNow)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMs(aNow - aTime)));
}

peer::PromptContent
toMessage(const std::vector<serving::PartEvidence>& aEvidence, Instant aNow)
{
  peer::PromptContent content;
  for (const auto& evidence : aEvidence) {
    auto* part = content.add_parts();
    part->set_part(evidence.part);
    for (const auto& crash : evidence.crashes) {
      auto* encoded = part->add_crashes();
      encoded->set_upstream(crash.upstream);
      encoded->set_request(crash.request);
      encoded->set_deployment(crash.model);
      encoded->set_position(crash.position);
      encoded->set_age_ms(ageMs(crash.at, aNow));
    }
    if (evidence.lastServed) {
      part->set_served_age_ms(ageMs(*evidence.lastServed, aNow));
    }
    if (evidence.quarantinedUntil) {
      part->set_quarantine_left_ms(toMs(*evidence.quarantinedUntil - aNow));
      part->set_quarantine_ms(static_cast<std::uint64_t>(toMs(evidence.quarantineTime)));
    }
  }
  return content;
}

bool
isUsableName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes;
}

/// `aWrittenBefore` is the time since the ages in the message were determined.
Result<std::vector<serving::PartEvidence>>
fromMessage(const peer::PromptContent& aContent, Instant aNow, Duration aWrittenBefore)
{
  if (aContent.parts_size() > kMaxParts) {
    return fail(ErrorCode::Malformed, "evidence lists too many prompt parts");
  }
  const Instant written = aNow - aWrittenBefore;
  std::vector<serving::PartEvidence> all;
  for (const auto& part : aContent.parts()) {
    if (!isUsableName(part.part()) || part.crashes_size() > kMaxCrashes) {
      return fail(
        ErrorCode::Malformed,
        "evidence has a prompt part without a usable id or with too many crashes");
    }
    serving::PartEvidence evidence;
    evidence.part = part.part();
    for (const auto& encoded : part.crashes()) {
      if (!isUsableName(encoded.upstream()) || encoded.request().size() > kMaxNameBytes ||
          encoded.deployment().size() > kMaxNameBytes) {
        return fail(ErrorCode::Malformed, "evidence has a crash with an unusable name");
      }
      evidence.crashes.push_back({ encoded.upstream(),
                                   encoded.request(),
                                   encoded.deployment(),
                                   encoded.position(),
                                   written - ageOf(encoded.age_ms()) });
    }
    if (part.has_served_age_ms()) {
      evidence.lastServed = written - ageOf(part.served_age_ms());
    }
    if (part.has_quarantine_left_ms()) {
      evidence.quarantineTime = ageOf(part.quarantine_ms());
      evidence.quarantinedUntil =
        written + std::min(fromMs(part.quarantine_left_ms()), evidence.quarantineTime);
    }
    all.push_back(std::move(evidence));
  }
  return all;
}

} // namespace

std::string
encodePromptEvidence(const std::vector<serving::PartEvidence>& aEvidence, Instant aNow)
{
  return toMessage(aEvidence, aNow).SerializeAsString();
}

Result<std::vector<serving::PartEvidence>>
decodePromptEvidence(const std::string& aPayload, Instant aNow)
{
  peer::PromptContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "evidence against prompt parts cannot be parsed");
  }
  return fromMessage(content, aNow, Duration::zero());
}

std::string
encodePromptRow(const std::vector<serving::PartEvidence>& aEvidence,
                Instant aNow,
                std::int64_t aWallMs)
{
  auto content = toMessage(aEvidence, aNow);
  content.set_written_unix_ms(aWallMs);
  return content.SerializeAsString();
}

Result<std::vector<serving::PartEvidence>>
decodePromptRow(const std::string& aValue, Instant aNow, std::int64_t aWallMs)
{
  peer::PromptContent content;
  if (!content.ParseFromString(aValue) || content.written_unix_ms() <= 0) {
    return fail(ErrorCode::Malformed, "row of quarantined prompt parts cannot be parsed");
  }
  const auto since = aWallMs > content.written_unix_ms()
                       ? aWallMs - content.written_unix_ms()
                       : std::int64_t{ 0 };
  return fromMessage(content, aNow, fromMs(since));
}

} // namespace savoryrill::gateway
