#include "testing/internal/inferenceapi.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "testing/internal/inferencerequest.h"
#include "testing/internal/json.h"
#include "testing/tokens.h"

namespace savoryrill::testing {

InferenceApi::InferenceApi(event::Loop& aLoop,
                           const EngineOptions& aOptions,
                           Batch& aBatch,
                           ModelStore& aModels,
                           Recorder& aRecorder)
  : mLoop(aLoop)
  , mGrace(aOptions.disconnectGrace)
  , mRetention(aOptions.retention)
  , mBatch(aBatch)
  , mModels(aModels)
  , mRecorder(aRecorder)
{
}

void
InferenceApi::handle(const ExchangePtr& aExchange, bool aRefusesNewWork)
{
  auto read = readGeneration(aExchange->request());
  if (!read) {
    respondProblem(*aExchange, 400, "malformed", read.error().message);
    return;
  }
  const GenerationPtr generation = std::move(read.value());
  const auto known = mGenerations.find(generation->id);
  if (known != mGenerations.end()) {
    resume(known->second, *generation, aExchange);
    return;
  }
  if (!aExchange->request().header("Last-Event-ID").empty()) {
    // Running it again would generate from the start what the caller has got already.
    respondProblem(*aExchange, 404, "unknown_request", generation->id);
    return;
  }
  if (refuse(*aExchange, *generation, aRefusesNewWork)) {
    return;
  }
  begin(generation, aExchange);
}

bool
InferenceApi::refuse(http::Exchange& aExchange,
                     const Generation& aGeneration,
                     bool aRefusesNewWork)
{
  const std::string model = modelName(aGeneration);
  const char* code = nullptr;
  int status = 409;
  if (aRefusesNewWork) {
    status = 503;
    code = "leaving";
  } else if (!mModels.serves(aGeneration.loadable)) {
    code = "model_not_loaded";
  } else if (!aGeneration.adapter.empty() &&
             !mModels.serves(aGeneration.loadable, aGeneration.adapter)) {
    code = "adapter_not_loaded";
  } else if (mBatch.full()) {
    status = 503;
    code = "overloaded";
  }
  if (code == nullptr) {
    return false;
  }
  record("request_refused", aGeneration, code);
  respondProblem(aExchange, status, code, model);
  return true;
}

void
InferenceApi::begin(const GenerationPtr& aGeneration, const ExchangePtr& aExchange)
{
  if (aGeneration->id.empty()) {
    aGeneration->id = "engine-" + std::to_string(++mNextId);
  }
  mGenerations[aGeneration->id] = aGeneration;
  record("request_begin", *aGeneration);
  attach(aGeneration, aExchange);
  mBatch.add(aGeneration);
}

void
InferenceApi::resume(const GenerationPtr& aGeneration,
                     const Generation& aAsked,
                     const ExchangePtr& aExchange)
{
  if (aAsked.prompt != aGeneration->prompt ||
      modelName(aAsked) != modelName(*aGeneration)) {
    respondProblem(*aExchange, 422, "request_id_conflict", aGeneration->id);
    return;
  }
  const std::string last(aExchange->request().header("Last-Event-ID"));
  const auto events = std::strtoul(last.c_str(), nullptr, 10);
  aGeneration->stream = aAsked.stream;
  aGeneration->sent =
    static_cast<std::uint32_t>(std::min<unsigned long>(events, aGeneration->produced));
  record("request_resume", *aGeneration, last.c_str());
  attach(aGeneration, aExchange);
  deliver(aGeneration);
}

void
InferenceApi::attach(const GenerationPtr& aGeneration, const ExchangePtr& aExchange)
{
  disconnect(aGeneration);
  aGeneration->exchange = aExchange;
  aGeneration->sentOnConnection = 0;
  aGeneration->expiry.reset();
  const std::uint64_t attachment = ++aGeneration->attachment;
  if (aGeneration->stream) {
    aExchange->startStream(
      200,
      { { "Content-Type", "text/event-stream" }, { "X-Request-Id", aGeneration->id } });
  }
  aExchange->onClosed([this,
                       attachment,
                       alive = std::weak_ptr(mAlive),
                       target = std::weak_ptr(aGeneration)](bool) {
    const auto generation = target.lock();
    if (alive.expired() || generation == nullptr ||
        generation->attachment != attachment || generation->exchange == nullptr) {
      return;
    }
    record("request_disconnect", *generation);
    detach(generation);
  });
}

/// Ends the connection of a request so that its caller sees a cut answer.
void
InferenceApi::disconnect(const GenerationPtr& aGeneration)
{
  const auto exchange = std::exchange(aGeneration->exchange, nullptr);
  if (exchange != nullptr) {
    exchange->abort();
    exchange->drop();
  }
}

/// Starts the time after which a request without a connection is cancelled or forgotten.
void
InferenceApi::detach(const GenerationPtr& aGeneration)
{
  aGeneration->exchange = nullptr;
  const bool finished = aGeneration->state == GenerationState::Finished;
  const std::weak_ptr<Generation> target = aGeneration;
  aGeneration->expiry = mLoop.after(finished ? mRetention : mGrace, [this, target] {
    const auto generation = target.lock();
    if (generation == nullptr) {
      return;
    }
    if (generation->state == GenerationState::Finished) {
      forget(generation);
    } else {
      cancel(generation, "disconnect");
    }
  });
}

void
InferenceApi::progressed(const GenerationPtr& aGeneration)
{
  const bool finished = aGeneration->state == GenerationState::Finished;
  if (finished) {
    record("request_end", *aGeneration);
  }
  if (aGeneration->exchange != nullptr) {
    deliver(aGeneration);
  } else if (finished) {
    detach(aGeneration);
  }
  if (finished) {
    mModels.finishUnloads();
  }
}

void
InferenceApi::deliver(const GenerationPtr& aGeneration)
{
  if (aGeneration->stream) {
    deliverStream(aGeneration);
  } else if (aGeneration->state == GenerationState::Finished) {
    aGeneration->exchange->respond(wholeAnswer(*aGeneration));
    detach(aGeneration);
  }
}

void
InferenceApi::deliverStream(const GenerationPtr& aGeneration)
{
  while (aGeneration->sent < aGeneration->produced) {
    aGeneration->exchange->write(tokenEvent(*aGeneration, aGeneration->sent));
    ++aGeneration->sent;
    ++aGeneration->sentOnConnection;
    if (mCutAfter != 0 && aGeneration->sentOnConnection >= mCutAfter) {
      record("stream_cut", *aGeneration);
      aGeneration->exchange->abort();
      detach(aGeneration);
      return;
    }
  }
  if (aGeneration->state == GenerationState::Finished) {
    aGeneration->exchange->write(doneEvent(*aGeneration));
    aGeneration->exchange->finish();
    detach(aGeneration);
  }
}

void
InferenceApi::handleCancel(http::Exchange& aExchange, const std::string& aId)
{
  const auto found = mGenerations.find(aId);
  if (found == mGenerations.end() || found->second->state == GenerationState::Finished) {
    respondProblem(aExchange, 404, "unknown_request", aId);
    return;
  }
  cancel(found->second, "delete");
  respondJson(aExchange, 200, fields({ { "cancelled", true } }));
}

void
InferenceApi::cancel(const GenerationPtr& aGeneration, const char* aReason)
{
  const GenerationPtr generation = aGeneration;
  record("request_cancel", *generation, aReason);
  disconnect(generation);
  mBatch.remove(generation);
  forget(generation);
  mModels.finishUnloads();
}

void
InferenceApi::forget(const GenerationPtr& aGeneration)
{
  const std::string id = aGeneration->id;
  aGeneration->expiry.reset();
  mGenerations.erase(id);
}

void
InferenceApi::handleExport(http::Exchange& aExchange)
{
  const auto body = parseObject(aExchange.request().body);
  const std::string id = body ? textMember(body.value(), "request_id") : "";
  const auto found = mGenerations.find(id);
  if (found == mGenerations.end()) {
    respondProblem(aExchange, 404, "unknown_request", id);
    return;
  }
  // The request ends here, so that it does not run at two engines.
  const GenerationPtr generation = found->second;
  record("request_export", *generation);
  const std::string state = exportState(*generation);
  disconnect(generation);
  mBatch.remove(generation);
  forget(generation);
  mModels.finishUnloads();
  respondJson(aExchange, 200, fields({ { "request_id", id }, { "state", state } }));
}

void
InferenceApi::handleImport(http::Exchange& aExchange)
{
  const auto body = parseObject(aExchange.request().body);
  auto read = body ? importState(textMember(body.value(), "state"))
                   : Result<GenerationPtr>(body.error());
  const std::string id = body ? textMember(body.value(), "request_id") : "";
  if (!read || id.empty()) {
    respondProblem(
      aExchange, 400, "malformed", read ? "no \"request_id\"" : read.error().message);
    return;
  }
  const GenerationPtr generation = std::move(read.value());
  generation->id = id;
  if (mGenerations.count(id) != 0) {
    respondProblem(aExchange, 409, "request_id_conflict", id);
    return;
  }
  if (refuse(aExchange, *generation, false)) {
    return;
  }
  mGenerations[id] = generation;
  record("request_import", *generation);
  if (generation->produced >= generation->maxTokens) {
    generation->state = GenerationState::Finished;
  } else {
    mBatch.add(generation);
  }
  detach(generation);
  respondJson(aExchange, 200, fields({ { "request_id", id }, { "imported", true } }));
}

void
InferenceApi::record(const char* aKind,
                     const Generation& aGeneration,
                     const char* aDetail)
{
  mRecorder.write(aKind,
                  fields({ { "request_id", aGeneration.id },
                           { "model", modelName(aGeneration) },
                           { "marker", std::string(markerOf(aGeneration.prompt)) },
                           { "produced", aGeneration.produced },
                           { "detail", aDetail } }));
}

} // namespace savoryrill::testing
