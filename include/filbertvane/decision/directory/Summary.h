#ifndef FILBERTVANE_DECISION_DIRECTORY_SUMMARY_H
#define FILBERTVANE_DECISION_DIRECTORY_SUMMARY_H

#include "filbertvane/wire/ControlMessage.h"

namespace filbertvane::decision::directory {

using wire::DataCentreSummary;
using wire::ServiceSummary;

} // namespace filbertvane::decision::directory

#endif // FILBERTVANE_DECISION_DIRECTORY_SUMMARY_H
