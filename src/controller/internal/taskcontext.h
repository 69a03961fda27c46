#pragma once

#include "base/eventlog.h"
#include "base/metrics.h"
#include "config/settings.h"
#include "controller/internal/messages.h"
#include "event/loop.h"
#include "gossip/statesync.h"
#include "platform/iplatform.h"
#include "upstream/iengine.h"

namespace savoryrill::controller {

/// Dependencies of every task of a controller. All references outlive the tasks.
struct TaskContext
{
  event::Loop& loop;
  const config::Settings& settings;
  platform::IPlatform& platform;
  upstream::IEngineControl& engines;
  gossip::StateSync& sync;
  EventLog& log;
  Metrics& metrics;
  const Outbox& outbox;
  std::uint64_t incarnation = 0; // of this process
};

/// Wraps completions that may run after their task was destroyed. Not thread safe.
class CallbackGuard
{
public:
  /// Returns a callback that does nothing once this object is destroyed.
  template<typename F>
  auto wrap(F aCallback) const
  {
    return [token = std::weak_ptr<int>(mToken),
            callback = std::move(aCallback)]<typename... Args>(Args&&... aArgs) mutable {
      if (!token.expired()) {
        callback(std::forward<Args>(aArgs)...);
      }
    };
  }

private:
  std::shared_ptr<int> mToken = std::make_shared<int>(0);
};

} // namespace savoryrill::controller
