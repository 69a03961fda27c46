#include <CppUTest/TestHarness.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include "base/linewriter.h"

using namespace savoryrill;

TEST_GROUP(LineWriter)
{
  std::array<int, 2> ends{ -1, -1 };

  void setup() override
  {
    CHECK_EQUAL(0, pipe(ends.data()));
  }

  void teardown() override
  {
    close(ends[0]);
    if (ends[1] >= 0) {
      close(ends[1]);
    }
  }

  std::string readAll()
  {
    std::string text(1 << 20, '\0');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t size = read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
};

// Guards against lines that are lost, changed or out of order although they are within
// the limits.
TEST(LineWriter, ReaderKeepsUp_LinesPass)
{
  LineWriter writer(ends[1], {});
  CHECK_TRUE(writer.write("one", false));
  CHECK_TRUE(writer.write("two", false));
  STRCMP_EQUAL("one\ntwo\n", readAll().c_str());
}

// Guards against a log that blocks its event loop while the reader is slow: `write` would
// not return, since nothing reads the pipe.
TEST(LineWriter, PipeIsFull_DropsAndCountsWithoutWaiting)
{
  LineWriter writer(ends[1], { 64UL * 1024, 100'000'000 });
  const std::string line(1000, 'x');
  for (int at = 0; at < 1000; ++at) {
    writer.write(line, true);
  }
  CHECK_TRUE(writer.dropped() > 0);
  CHECK_TRUE(writer.takeNewlyDropped() > 0);
  LONGS_EQUAL(0, writer.takeNewlyDropped());
  readAll();
  CHECK_TRUE(writer.write("again", true));
}

// Guards against reports of failures that are lost to the rate limit, and against
// ordinary lines that exceed it.
TEST(LineWriter, RateIsExceeded_OrdinaryLinesDropAndFailuresPass)
{
  LineWriter writer(ends[1], { 64UL * 1024, 100 });
  CHECK_TRUE(writer.write(std::string(90, 'x'), false));
  CHECK_FALSE(writer.write(std::string(90, 'x'), false));
  CHECK_TRUE(writer.write("failure", true));
  LONGS_EQUAL(1, writer.dropped());
}

// Guards against a writer that retries forever, or buffers without bound, when its
// descriptor is closed.
TEST(LineWriter, OutputIsClosed_DropsLinesAndReturns)
{
  close(ends[1]);
  LineWriter writer(ends[1], { 4096, 100'000'000 });
  for (int at = 0; at < 100; ++at) {
    writer.write(std::string(100, 'x'), true);
  }
  CHECK_TRUE(writer.dropped() > 0);
  ends[1] = -1;
}
