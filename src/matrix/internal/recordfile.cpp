#include "matrix/recordfile.h"

#include <fstream>
#include <sstream>

#include "testing/internal/json.h"

namespace savoryrill::matrix {

void
RecordFile::update()
{
  std::ifstream file(mPath, std::ios::binary);
  if (!file) {
    return;
  }
  file.seekg(static_cast<std::streamoff>(mOffset));
  std::ostringstream added;
  added << file.rdbuf();
  const std::string text = added.str();
  std::size_t begin = 0;
  for (auto end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', begin)) {
    auto record = testing::parseObject(std::string_view(text).substr(begin, end - begin));
    if (record) {
      mRecords.push_back(std::move(record.value()));
    } else {
      ++mUnreadable;
    }
    begin = end + 1;
  }
  mOffset += begin;
}

} // namespace savoryrill::matrix
