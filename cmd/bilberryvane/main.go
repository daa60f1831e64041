// Command bilberryvane is the operator's tool.
package main

func main() {}
