#include "controller/internal/configtask.h"

#include <openssl/evp.h>

#include "config/bundle.h"
#include "controller/types/controllerevents.h"

namespace savoryrill::controller {

namespace {

constexpr Duration kHeadPollPeriod = 1s; // of the `config/head` row
const std::string kConfigEntryKey = "config";

std::string
sha256Hex(const std::string& aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int index = 0; index < size; ++index) {
    text += kDigits[digest[index] >> 4];
    text += kDigits[digest[index] & 15];
  }
  return text;
}

} // namespace

ConfigTask::ConfigTask(TaskContext aContext)
  : mContext(aContext)
{
}

void
ConfigTask::start()
{
  mTimer = mContext.loop.every(kHeadPollPeriod, [this] { poll(); });
  poll();
  for (const auto& entry :
       mContext.sync.entries().entries(peer::ENTRY_KIND_CONFIG, mContext.loop.now())) {
    handle(EntryChanged{ entry });
  }
}

void
ConfigTask::handle(ConfigMessage&& aMessage)
{
  const auto& entry = std::get<EntryChanged>(aMessage).entry;
  peer::ConfigContent content;
  if (!entry.payload().empty() && content.ParseFromString(entry.payload())) {
    adoptIfNewer(content, "peer");
  }
}

void
ConfigTask::poll()
{
  if (mReading) {
    return;
  }
  mReading = true;
  mContext.platform.readRow(
    std::string(placement::kHeadKey),
    mGuard.wrap([this](const Result<std::optional<platform::Row>>& aRow) {
      mReading = false;
      headRead(aRow);
    }));
}

void
ConfigTask::setPlatformReachable(bool aReachable)
{
  if (aReachable == mPlatformUnreachable) {
    mPlatformUnreachable = !aReachable;
    mContext.log.write(aReachable ? kPlatformBack : kPlatformLost);
  }
  mContext.metrics.set("savoryrill_controller_platform_reachable", aReachable ? 1 : 0);
}

void
ConfigTask::headRead(const Result<std::optional<platform::Row>>& aRow)
{
  setPlatformReachable(aRow.has_value());
  if (!aRow.has_value() || !aRow.value()) {
    return;
  }
  const auto& row = *aRow.value();
  const auto head = placement::parseHead(row.value);
  if (!head.has_value()) {
    mContext.log.write(kConfigRefused, { { "reason", head.error().message } });
    return;
  }
  if (head.value().version > mVersion) {
    fetch(head.value());
  } else if (head.value().version == mVersion && head.value().sha256 == mSha256) {
    mContext.outbox.assignment(HeadConfirmed{ row.version, mVersion });
  }
}

void
ConfigTask::fetch(const placement::HeadRow& aHead)
{
  if (mFetching || aHead.version <= mRefusedVersion) {
    return;
  }
  mFetching = true;
  mContext.platform.readObject(
    aHead.object,
    mGuard.wrap([this, aHead](const Result<std::optional<std::string>>& aBytes) {
      mFetching = false;
      if (!aBytes.has_value() || !aBytes.value()) {
        return;
      }
      peer::ConfigContent content;
      content.set_version(aHead.version);
      content.set_change_id(aHead.changeId);
      content.set_sha256(aHead.sha256);
      content.set_bundle(*aBytes.value());
      adoptIfNewer(content, "platform");
      // Assignments are planned only after a read of the head row names the adopted
      // version; the next periodic read would delay them.
      poll();
    }));
}

void
ConfigTask::adoptIfNewer(const peer::ConfigContent& aContent, const char* aSource)
{
  if (aContent.version() <= mVersion || aContent.version() <= mRefusedVersion) {
    return;
  }
  const auto refuse = [&](const std::string& aReason) {
    mContext.log.write(kConfigRefused,
                       { { "version", aContent.version() },
                         { "source", aSource },
                         { "reason", aReason } });
  };
  if (sha256Hex(aContent.bundle()) != aContent.sha256()) {
    // The version is not marked as refused: the bytes were damaged in transit, and
    // another source may deliver them intact.
    refuse("content hash does not match");
    return;
  }
  auto configuration = config::configurationOf(aContent.bundle(),
                                               mContext.settings.dataCentre,
                                               aContent.version(),
                                               aContent.change_id());
  if (!configuration.has_value()) {
    mRefusedVersion = aContent.version();
    refuse(configuration.error().message);
    return;
  }
  mVersion = aContent.version();
  mSha256 = aContent.sha256();
  mContext.log.write(kConfigAdopted,
                     { { "version", mVersion },
                       { "change_id", aContent.change_id() },
                       { "source", aSource } });
  mContext.metrics.set("savoryrill_controller_config_version",
                       static_cast<double>(mVersion));
  mContext.sync.publish(
    peer::ENTRY_KIND_CONFIG, kConfigEntryKey, 0, mVersion, aContent.SerializeAsString());
  const ConfigAdopted adopted{ std::make_shared<const config::Configuration>(
    std::move(configuration.value())) };
  mContext.outbox.session(adopted);
  mContext.outbox.engine(adopted);
  mContext.outbox.assignment(adopted);
  mContext.outbox.load(adopted);
  mContext.outbox.leaving(adopted);
}

} // namespace savoryrill::controller
