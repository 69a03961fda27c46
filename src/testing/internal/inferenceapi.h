#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "testing/internal/batch.h"
#include "testing/internal/modelstore.h"

namespace savoryrill::testing {

/// The engine's callers: starts, delivers, resumes, cancels, exports and imports
/// requests. A request without a connection goes on for a grace time, and a finished one
/// is kept for the retention time, so that the same request id resumes it. Not thread
/// safe.
class InferenceApi
{
public:
  /// Precondition: all references outlive this object.
  InferenceApi(event::Loop& aLoop,
               const EngineOptions& aOptions,
               Batch& aBatch,
               ModelStore& aModels,
               Recorder& aRecorder);

  /// Answers a completion or chat request.
  void handle(const std::shared_ptr<http::Exchange>& aExchange, bool aRefusesNewWork);

  /// Answers `DELETE /v1/requests/<id>`.
  void handleCancel(http::Exchange& aExchange, const std::string& aId);

  /// Answer the KV cache calls.
  void handleExport(http::Exchange& aExchange);
  void handleImport(http::Exchange& aExchange);

  /// To be called by the batch after each token of a request.
  void progressed(const GenerationPtr& aGeneration);

  /// Cuts each streamed connection after this number of tokens; 0: never.
  void setCutAfter(std::uint32_t aTokens) { mCutAfter = aTokens; }

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  void resume(const GenerationPtr& aGeneration,
              const Generation& aAsked,
              const ExchangePtr& aExchange);
  bool refuse(http::Exchange& aExchange,
              const Generation& aGeneration,
              bool aRefusesNewWork);
  void begin(const GenerationPtr& aGeneration, const ExchangePtr& aExchange);
  void attach(const GenerationPtr& aGeneration, const ExchangePtr& aExchange);
  void detach(const GenerationPtr& aGeneration);
  void disconnect(const GenerationPtr& aGeneration);
  void deliver(const GenerationPtr& aGeneration);
  void deliverStream(const GenerationPtr& aGeneration);
  void cancel(const GenerationPtr& aGeneration, const char* aReason);
  void forget(const GenerationPtr& aGeneration);
  void record(const char* aKind, const Generation& aGeneration, const char* aDetail = "");

  event::Loop& mLoop;
  Duration mGrace;
  Duration mRetention;
  Batch& mBatch;
  ModelStore& mModels;
  Recorder& mRecorder;
  std::uint32_t mCutAfter = 0;
  std::uint64_t mNextId = 0;
  std::map<std::string, GenerationPtr> mGenerations; // by request id
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace savoryrill::testing
