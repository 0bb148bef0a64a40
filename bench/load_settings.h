#ifndef CH_LOAD_SETTINGS_H
#define CH_LOAD_SETTINGS_H

#include "settings.h"

#define COUNT_MAX 10000000

static struct setting load_settings[] = {
    {"entry", SETTING_TEXT, NULL, 1, 0,
	"Entries to ask for addresses: ip:port,...", true, NULL, 0},
    {"place", SETTING_TEXT, NULL, 1, 63, "Place of the caller", false, NULL, 0},
    {"lookups", SETTING_INT, "10", 0, COUNT_MAX, "Number of lookups", false,
	NULL, 0},
    {"orders", SETTING_INT, "0", 0, COUNT_MAX, "Number of orders", false, NULL,
	0},
    {"concurrency", SETTING_INT, "8", 1, 4096, "Most requests open at once",
	false, NULL, 0},
    {"rate", SETTING_INT, "0", 0, 100000,
	"Requests a second; 0: as fast as answers come", false, NULL, 0},
    {"burst", SETTING_INT, "1", 1, 4096,
	"Requests started at once, at the same rate", false, NULL, 0},
    {"measure-from-ms", SETTING_INT, "0", 0, 3600000,
	"Start of the measured time", false, NULL, 0},
    {"measure-until-ms", SETTING_INT, "3600000", 0, 3600000,
	"End of the measured time", false, NULL, 0},
    {"shares", SETTING_TEXT, NULL, 1, 0,
	"Shares of the organisations: number,...", false, NULL, 0},
    {"seed", SETTING_INT, "1", 0, UINT32_MAX, "Seed", false, NULL, 0},
    {"organisations", SETTING_TEXT, NULL, 1, 0,
	"Organisations to send as: name,...", true, NULL, 0},
    {"lookup-service", SETTING_TEXT, "redactor", 1, 63, "Pipeline for lookups",
	false, NULL, 0},
    {"lookup-operation", SETTING_TEXT, "draft", 1, 63, "Operation of lookups",
	false, NULL, 0},
    {"order-service", SETTING_TEXT, "libro-cambios", 1, 63,
	"Plain service for orders", false, NULL, 0},
    {"order-operation", SETTING_TEXT, "swap", 1, 63, "Operation of orders",
	false, NULL, 0},
    {"max-tokens", SETTING_INT, "16", 1, 8192, "Tokens of a lookup", false,
	NULL, 0},
    {"deadline-ms", SETTING_INT, "10000", 1, 600000, "Deadline of each try",
	false, NULL, 0},
    {"retries", SETTING_INT, "3", 0, 100, "Most retries of a request", false,
	NULL, 0},
    {"lost-retries", SETTING_INT, "0", 0, 1000,
	"Further retries of a request whose answer was lost", false, NULL, 0},
    {"max-seconds", SETTING_INT, "60", 1, 3600,
	"Time after which the tool stops", false, NULL, 0},
    {"json", SETTING_BOOL, "false", 0, 0, "Print the report as JSON", false,
	NULL, 0},
    {"results", SETTING_TEXT, NULL, 1, 4096,
	"File to write one line a request to", false, NULL, 0},
    {"spoil", SETTING_INT, "0", 0, COUNT_MAX,
	"Hide every Nth token from the check, which must find it", false, NULL,
	0},
    {0}};

#endif
