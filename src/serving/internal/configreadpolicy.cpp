#include "serving/configreadpolicy.h"

namespace savoryrill::serving {

ConfigReader
ConfigReadPolicy::reader(bool aUnconfirmed) const
{
  if (mConfirms && mLeads) {
    return ConfigReader::ConfirmsForAll;
  }
  if (mConfirms && aUnconfirmed) {
    return ConfigReader::ConfirmsItself;
  }
  if (mConfirms) {
    return ConfigReader::Confirmed;
  }
  return mTold && !mLeads ? ConfigReader::Told : ConfigReader::Alone;
}

} // namespace savoryrill::serving
