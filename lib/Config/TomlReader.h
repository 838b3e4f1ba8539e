// Reads TOML tables key by key and collects every problem instead of stopping
// at the first.
#ifndef SAMPHIREHILL_LIB_CONFIG_TOMLREADER_H
#define SAMPHIREHILL_LIB_CONFIG_TOMLREADER_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace samphirehill {

// The problems of one file, in the order of their lines.
class Problems {
public:
  explicit Problems(std::string_view File) : File(File) {}

  // Line 0 stands for an unknown line and is left out of the message.
  void add(std::uint32_t Line, const std::string &Key, const std::string &Value,
           const std::string &Allowed);
  bool empty() const { return Found.empty(); }
  // Returns one line for each problem.
  std::string message() const;

private:
  std::string File;
  std::multimap<std::uint32_t, std::string> Found;
};

// Parses Toml; on a syntax error adds a problem and returns nothing.
std::optional<toml::table> parseToml(std::string_view Toml, Problems &Into);

// Parses "<number><unit>" with unit ms, s, m or h.
std::optional<Duration> parseDuration(std::string_view Text);
// Returns Value in the largest unit that holds it exactly.
std::string formatDuration(Duration Value);
// Tells whether Text is a name: 1 to 64 of letters, digits, ".", "_" and "-",
// the first a letter or digit.
bool isName(std::string_view Text);

// Returns Parts one after the other.
std::string concat(std::initializer_list<std::string_view> Parts);

using StringRule = std::function<bool(std::string_view)>;

// One table. Each reader returns the value of Key, or the default, and adds a
// problem when the value breaks the rule. A key without default is required.
class TableReader {
public:
  TableReader(const toml::table &Table, std::string Path, Problems &Found)
      : Table(Table), Path(std::move(Path)), Found(Found) {}

  std::string string(std::string_view Key, const StringRule &Rule,
                     const std::string &Allowed,
                     const std::optional<std::string> &Default = std::nullopt);
  // The same, but a problem never shows the value.
  std::string secret(std::string_view Key, const StringRule &Rule,
                     const std::string &Allowed);
  std::string name(std::string_view Key);
  std::int64_t integer(std::string_view Key, std::int64_t Lowest,
                       std::int64_t Highest,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, double Lowest, double Highest,
                double Default);
  bool boolean(std::string_view Key, bool Default);
  Duration duration(std::string_view Key, Duration Lowest, Duration Highest,
                    Duration Default);
  // Reads a list of strings, empty if absent. HideValues is for secrets.
  std::vector<std::string> strings(std::string_view Key, const StringRule &Rule,
                                   const std::string &Allowed,
                                   bool HideValues = false);
  // Returns a reader of the table at Key; of an empty one if absent.
  TableReader table(std::string_view Key, bool Required = false);
  // Returns a reader for each table of the list at Key.
  std::vector<TableReader> tables(std::string_view Key);

  bool has(std::string_view Key) const { return Table.contains(Key); }
  // Adds a problem with the value at Key.
  void refuse(std::string_view Key, const std::string &Allowed);
  // Adds a problem with element Index of the list at Key.
  void refuseElement(std::string_view Key, std::size_t Index,
                     const std::string &Allowed);
  // Adds a problem for every key that no reader asked for.
  void refuseUnknownKeys();

private:
  std::string pathOf(std::string_view Key) const;
  const toml::node *find(std::string_view Key);
  void missing(std::string_view Key, const std::string &Allowed);

  const toml::table &Table;
  std::string Path;
  Problems &Found;
  std::set<std::string, std::less<>> Known;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_CONFIG_TOMLREADER_H
