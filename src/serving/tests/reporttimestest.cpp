#include <CppUTest/TestHarness.h>

#include "serving/reporttimes.h"

using namespace savoryrill;

TEST_GROUP(ReportTimes)
{
  Instant now{ 100s };
};

TEST(ReportTimes, ReportsAreFarApart_EachHasItsTime)
{
  serving::ReportTimes times;
  for (std::uint64_t at = 1; at <= 8; ++at) {
    LONGS_EQUAL(at, times.add(now + at * 400ms));
  }
  CHECK_TRUE(times.sentAt(3) == now + 1200ms);
  CHECK_TRUE(times.sentAt(8) == now + 3200ms);
}

// Guards against a confirmation that seems more recent than it is.
TEST(ReportTimes, NumberWasNeverUsed_NoTime)
{
  serving::ReportTimes times(1000);
  CHECK_FALSE(times.sentAt(1000).has_value());
  LONGS_EQUAL(1001, times.add(now));
  for (const std::uint64_t number : { 0, 1, 1000, 1002, 5000 }) {
    CHECK_FALSE(times.sentAt(number).has_value());
  }
  CHECK_TRUE(times.sentAt(1001) == now);
}

// Guards against replies that come too late for every report, as the kept times cover
// less than a second, and against times after the report.
TEST(ReportTimes, HundredsOfReportsASecond_TimesOfSecondsAreKept)
{
  serving::ReportTimes times;
  constexpr int kReports = 4000;
  for (int at = 1; at <= kReports; ++at) {
    times.add(now + at * 1ms);
  }
  for (int at = kReports - 3500; at <= kReports; ++at) {
    const auto sent = times.sentAt(static_cast<std::uint64_t>(at));
    CHECK_TRUE(sent.has_value());
    CHECK_TRUE(*sent <= now + at * 1ms);
    CHECK_TRUE(*sent > now + at * 1ms - 25ms);
  }
  for (int at = 1; at <= 100000; ++at) {
    times.add(now + 10s + at * 1ms);
  }
  CHECK_FALSE(times.sentAt(kReports).has_value());
}
