#include "cli/reportrenderer.h"

#include <chrono>

#include "report/report.h"

namespace savoryrill::cli {

std::string
renderReport(const std::vector<ProcessReport>& aReports, ReportFormat aFormat)
{
  report::RecordStore store;
  for (const auto& report : aReports) {
    store.add(report.address, report.record);
  }
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  const auto result = report::compute(
    store, std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  switch (aFormat) {
    case ReportFormat::Html:
      return report::toHtml(result);
    case ReportFormat::Json:
      return report::toJson(result);
    default:
      return report::toText(result);
  }
}

} // namespace savoryrill::cli
