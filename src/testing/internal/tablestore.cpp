#include "testing/internal/tablestore.h"

namespace savoryrill::testing {

platform::TransactionOutcome
TableStore::transact(const platform::Transaction& aTransaction, Instant aNow)
{
  platform::TransactionOutcome outcome;
  for (const auto& check : aTransaction.checks) {
    const auto current = row(check.key, aNow);
    const std::uint64_t version = current ? current->version : 0;
    if (version != check.version) {
      outcome.conflicts[check.key] = version;
    }
  }
  if (!outcome.conflicts.empty()) {
    return outcome;
  }
  outcome.committed = true;
  for (const auto& write : aTransaction.writes) {
    if (!write.value) {
      mEntries.erase(write.key);
      outcome.versions[write.key] = 0;
      continue;
    }
    Entry entry{ { write.key, ++mCounter, *write.value }, std::nullopt };
    if (write.timeToLive > Duration::zero()) {
      entry.expiry = aNow + write.timeToLive;
    }
    outcome.versions[write.key] = entry.row.version;
    mEntries[write.key] = std::move(entry);
  }
  return outcome;
}

std::optional<platform::Row>
TableStore::row(const std::string& aKey, Instant aNow) const
{
  const auto found = mEntries.find(aKey);
  const bool alive =
    found != mEntries.end() && (!found->second.expiry || aNow < *found->second.expiry);
  return alive ? std::optional(found->second.row) : std::nullopt;
}

std::vector<platform::Row>
TableStore::rows(const std::string& aPrefix, Instant aNow) const
{
  std::vector<platform::Row> found;
  for (auto entry = mEntries.lower_bound(aPrefix);
       entry != mEntries.end() && entry->first.starts_with(aPrefix);
       ++entry) {
    if (!entry->second.expiry || aNow < *entry->second.expiry) {
      found.push_back(entry->second.row);
    }
  }
  return found;
}

} // namespace savoryrill::testing
