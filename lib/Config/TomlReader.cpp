#include "TomlReader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <sstream>
#include <utility>

namespace samphirehill {
namespace {

constexpr std::size_t LongestShownValue = 80; // characters

std::string shown(const toml::node &Node) {
  std::ostringstream Stream;
  Node.visit([&](const auto &Value) {
    if constexpr (toml::is_table<decltype(Value)>)
      Stream << "{...}";
    else if constexpr (toml::is_array<decltype(Value)>)
      Stream << "[...]";
    else if constexpr (toml::is_string<decltype(Value)>)
      Stream << '"' << Value.get() << '"';
    else
      Stream << Value;
  });
  std::string Text = Stream.str();
  if (Text.size() > LongestShownValue)
    Text = Text.substr(0, LongestShownValue) + "...";
  std::replace(Text.begin(), Text.end(), '\n', ' ');
  return Text;
}

std::uint32_t lineOf(const toml::node &Node) {
  return Node.source().begin.line;
}

struct Unit {
  std::string_view Name;
  std::int64_t Milliseconds;
};

constexpr std::array Units = {Unit{"h", 3'600'000}, Unit{"m", 60'000},
                              Unit{"s", 1000}, Unit{"ms", 1}};

} // namespace

void Problems::add(std::uint32_t Line, const std::string &Key,
                   const std::string &Value, const std::string &Allowed) {
  std::string Text = File;
  if (Line != 0)
    Text += ":" + std::to_string(Line);
  Text += ": " + Key;
  if (!Value.empty())
    Text += " = " + Value;
  Found.emplace(Line, Text + ": " + Allowed);
}

std::string Problems::message() const {
  std::string Text;
  for (const auto &[Line, Problem] : Found)
    Text += (Text.empty() ? "" : "\n") + Problem;
  return Text;
}

std::optional<toml::table> parseToml(std::string_view Toml, Problems &Into) {
  try {
    return toml::parse(Toml);
  } catch (const toml::parse_error &Caught) {
    Into.add(Caught.source().begin.line, "syntax", "",
             std::string(Caught.description()));
    return std::nullopt;
  }
}

std::optional<Duration> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Status] = std::from_chars(Text.data(), End, Count);
  constexpr std::int64_t HighestCount = 1'000'000'000;
  if (Status != std::errc() || Count < 0 || Count > HighestCount)
    return std::nullopt;
  std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  for (const Unit &Candidate : Units)
    if (Candidate.Name == Name)
      return milliseconds(Count * Candidate.Milliseconds);
  return std::nullopt;
}

std::string formatDuration(Duration Value) {
  std::int64_t Count = toMilliseconds(Value);
  for (const Unit &Candidate : Units)
    if (Count % Candidate.Milliseconds == 0 && Count >= Candidate.Milliseconds)
      return std::to_string(Count / Candidate.Milliseconds) +
             std::string(Candidate.Name);
  return "0ms";
}

bool isName(std::string_view Text) {
  constexpr std::size_t LongestName = 64;
  if (Text.empty() || Text.size() > LongestName)
    return false;
  if (std::isalnum(static_cast<unsigned char>(Text.front())) == 0)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '_' ||
           Letter == '-';
  });
}

std::string concat(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts)
    Text += Part;
  return Text;
}

std::string TableReader::pathOf(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

const toml::node *TableReader::find(std::string_view Key) {
  Known.emplace(Key);
  return Table.get(Key);
}

void TableReader::missing(std::string_view Key, const std::string &Allowed) {
  Found.add(lineOf(Table), pathOf(Key), "", "is missing; " + Allowed);
}

std::string TableReader::string(std::string_view Key, const StringRule &Rule,
                                const std::string &Allowed,
                                const std::optional<std::string> &Default) {
  const toml::node *Node = find(Key);
  if (!Node) {
    if (!Default)
      missing(Key, Allowed);
    return Default.value_or("");
  }
  const auto *Text = Node->as_string();
  if (Text && Rule(Text->get()))
    return Text->get();
  refuse(Key, Allowed);
  return Default.value_or("");
}

std::string TableReader::secret(std::string_view Key, const StringRule &Rule,
                                const std::string &Allowed) {
  const toml::node *Node = find(Key);
  if (!Node) {
    missing(Key, Allowed);
    return "";
  }
  const auto *Text = Node->as_string();
  if (Text && Rule(Text->get()))
    return Text->get();
  Found.add(lineOf(*Node), pathOf(Key), "<secret>", Allowed);
  return "";
}

std::string TableReader::name(std::string_view Key) {
  return string(Key, isName,
                "must be 1 to 64 letters, digits, \".\", \"_\" or \"-\" and "
                "begin with a letter or digit");
}

std::int64_t TableReader::integer(std::string_view Key, std::int64_t Lowest,
                                  std::int64_t Highest,
                                  std::optional<std::int64_t> Default) {
  std::string Allowed = "must be a whole number from " +
                        std::to_string(Lowest) + " to " +
                        std::to_string(Highest);
  const toml::node *Node = find(Key);
  if (!Node) {
    if (!Default)
      missing(Key, Allowed);
    return Default.value_or(Lowest);
  }
  const auto *Value = Node->as_integer();
  if (Value && Value->get() >= Lowest && Value->get() <= Highest)
    return Value->get();
  refuse(Key, Allowed);
  return Default.value_or(Lowest);
}

double TableReader::number(std::string_view Key, double Lowest, double Highest,
                           double Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  std::optional<double> Value = Node->value<double>();
  if (Value && *Value >= Lowest && *Value <= Highest)
    return *Value;
  std::ostringstream Allowed;
  Allowed << "must be a number from " << Lowest << " to " << Highest;
  refuse(Key, Allowed.str());
  return Default;
}

bool TableReader::boolean(std::string_view Key, bool Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  if (const auto *Value = Node->as_boolean())
    return Value->get();
  refuse(Key, "must be true or false");
  return Default;
}

Duration TableReader::duration(std::string_view Key, Duration Lowest,
                               Duration Highest, Duration Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  if (const auto *Text = Node->as_string()) {
    std::optional<Duration> Value = parseDuration(Text->get());
    if (Value && *Value >= Lowest && *Value <= Highest)
      return *Value;
  }
  refuse(Key, "must be a duration from \"" + formatDuration(Lowest) +
                  "\" to \"" + formatDuration(Highest) +
                  "\" with unit ms, s, m or h");
  return Default;
}

std::vector<std::string> TableReader::strings(std::string_view Key,
                                              const StringRule &Rule,
                                              const std::string &Allowed,
                                              bool HideValues) {
  std::vector<std::string> Values;
  const toml::node *Node = find(Key);
  if (!Node)
    return Values;
  const toml::array *List = Node->as_array();
  if (!List) {
    Found.add(lineOf(*Node), pathOf(Key),
              HideValues ? "<secret>" : shown(*Node),
              "must be a list of strings");
    return Values;
  }
  for (std::size_t I = 0; I < List->size(); ++I) {
    const toml::node &Element = *List->get(I);
    const auto *Text = Element.as_string();
    // Refused elements stay in the list, so that indexes match the file's.
    Values.push_back(Text ? Text->get() : "");
    if (Text && Rule(Text->get()))
      continue;
    Found.add(lineOf(Element), pathOf(Key) + "[" + std::to_string(I) + "]",
              HideValues ? "<secret>" : shown(Element), Allowed);
  }
  return Values;
}

TableReader TableReader::table(std::string_view Key, bool Required) {
  static const toml::table Empty;
  const toml::node *Node = find(Key);
  if (!Node && Required)
    missing(Key, "must be a table");
  if (Node && !Node->is_table())
    refuse(Key, "must be a table");
  const toml::table *Found = Node ? Node->as_table() : nullptr;
  return {Found ? *Found : Empty, pathOf(Key), this->Found};
}

std::vector<TableReader> TableReader::tables(std::string_view Key) {
  std::vector<TableReader> Readers;
  const toml::node *Node = find(Key);
  if (!Node)
    return Readers;
  const toml::array *List = Node->as_array();
  if (!List) {
    refuse(Key, "must be a list of tables");
    return Readers;
  }
  for (std::size_t I = 0; I < List->size(); ++I) {
    const toml::table *Element = List->get(I)->as_table();
    if (Element)
      Readers.emplace_back(*Element,
                           pathOf(Key) + "[" + std::to_string(I) + "]", Found);
    else
      refuseElement(Key, I, "must be a table");
  }
  return Readers;
}

void TableReader::refuse(std::string_view Key, const std::string &Allowed) {
  const toml::node *Node = Table.get(Key);
  if (Node)
    Found.add(lineOf(*Node), pathOf(Key), shown(*Node), Allowed);
  else
    Found.add(lineOf(Table), pathOf(Key), "", Allowed);
}

void TableReader::refuseElement(std::string_view Key, std::size_t Index,
                                const std::string &Allowed) {
  const toml::array *List = Table.get_as<toml::array>(Key);
  const toml::node *Element = List ? List->get(Index) : nullptr;
  if (!Element)
    return refuse(Key, Allowed);
  Found.add(lineOf(*Element), pathOf(Key) + "[" + std::to_string(Index) + "]",
            shown(*Element), Allowed);
}

void TableReader::refuseUnknownKeys() {
  for (const auto &[Key, Node] : Table) {
    if (Known.contains(Key.str()))
      continue;
    std::string Names;
    for (const std::string &Name : Known)
      Names += (Names.empty() ? "" : ", ") + Name;
    // The value is left out: a misspelled key may hold a secret.
    Found.add(lineOf(Node), pathOf(Key.str()), "",
              "is unknown; known keys are " + Names);
  }
}

} // namespace samphirehill
