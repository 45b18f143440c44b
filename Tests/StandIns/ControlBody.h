#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibHttp/HttpExchange.h>

namespace auburnhitch::standins {

/// The JSON object in the body of a command, or an empty one if the body is anything else.
inline Json
ControlBody(const HttpExchange& aExchange)
{
  Json body = Json::parse(aExchange.Body(), nullptr, false);
  return body.is_object() ? body : Json::object();
}

}
