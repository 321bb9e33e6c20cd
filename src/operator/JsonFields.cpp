#include "operator/JsonFields.h"

namespace gwt {

namespace json = boost::json;

std::string textOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code failure;
    const auto number = value ? value->to_number<std::uint64_t>(failure) : 0;
    return failure ? 0 : number;
}

bool flagOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() && value->get_bool();
}

std::vector<json::object> objectsOf(const json::object &object, const char *key)
{
    std::vector<json::object> objects;
    const json::value *list = object.if_contains(key);
    if (!list || !list->is_array())
        return objects;
    for (const json::value &item : list->get_array()) {
        if (item.is_object())
            objects.push_back(item.get_object());
    }
    return objects;
}

} // namespace gwt
