#include "operator/OperatorReport.h"

namespace gwt {

OperatorReport OperatorReport::failure(const std::string &what, const Error &error)
{
    OperatorReport report;
    report.exitStatus = exitFailure;
    report.text
        = what + ": " + error.reason + (error.detail.empty() ? "" : ": " + error.detail) + "\n";
    report.json["error"] = error.reason;
    report.json["code"] = std::string(toString(error.code));
    report.json["message"] = what;
    report.json["detail"] = error.detail;
    return report;
}

} // namespace gwt
